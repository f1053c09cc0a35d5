package sharedrate

import "time"

const (
	// entryRetention is how long a larger number of entries outlasts a smaller one: entries
	// that are cut off from the others still send, and the reports on the other side of a
	// cut do not count them.
	entryRetention = 10 * time.Minute
	// entryCountSlot is the resolution of the retention.
	entryCountSlot  = time.Minute
	entryCountSlots = int(entryRetention/entryCountSlot) + 1
	// minAssumedEntries is the least number that an entry assumes which has not run for
	// entryRetention: one that starts on the small side of a cut hears of few. With 11
	// entries of which 10 divide by 11, the bound holds by a wide margin.
	minAssumedEntries = 16
)

// EntryCount is the largest number of entries that was known within entryRetention.
type EntryCount struct {
	startedAt time.Time
	last      int
	slots     [entryCountSlots]entryCountMaximum
}

// entryCountMaximum is the largest number in one slot of time.
type entryCountMaximum struct {
	slot    int64
	largest int
}

// NewEntryCount returns the count of an entry that starts now. It is unknown until the first
// call of Observe.
func NewEntryCount(now time.Time) *EntryCount {
	return &EntryCount{startedAt: now}
}

func (c *EntryCount) slotAt(now time.Time) int64 {
	return int64(max(now.Sub(c.startedAt), 0) / entryCountSlot)
}

// Observe records the number that a settled agent names. Anything below 1 is ignored.
func (c *EntryCount) Observe(now time.Time, entries int) {
	if entries < 1 {
		return
	}
	c.last = entries
	slot := c.slotAt(now)
	maximum := &c.slots[slot%int64(entryCountSlots)]
	if maximum.slot != slot {
		*maximum = entryCountMaximum{slot: slot}
	}
	maximum.largest = max(maximum.largest, entries)
}

// Value returns the number of entries to divide by, 0 if it is unknown. The last number stays
// until another one is observed, however old it is.
func (c *EntryCount) Value(now time.Time) int {
	if c.last == 0 {
		return 0
	}
	largest, slot := c.last, c.slotAt(now)
	for _, maximum := range c.slots {
		if slot-maximum.slot < int64(entryCountSlots) {
			largest = max(largest, maximum.largest)
		}
	}
	if now.Sub(c.startedAt) < entryRetention {
		largest = max(largest, minAssumedEntries)
	}
	return largest
}
