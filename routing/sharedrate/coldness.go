package sharedrate

import "time"

// Record is what the record of an endpoint in the store says about its coldness.
type Record struct {
	// Known says that the record names a time left; all other fields are valid then.
	Known bool
	// Left is how much longer the endpoint stays cold, as of ReceivedAt; 0 if it is not cold.
	Left       time.Duration
	ReceivedAt time.Time
	// Era and Revision tell the records of an endpoint apart. Revisions of different eras
	// cannot be compared: the store came back from an older copy.
	Era, Revision uint64
	// Initial says that the record was read when the entry started.
	Initial bool
}

// Start is what a report of an agent says about the start of its endpoint.
type Start struct {
	// Known says that the agent names a time.
	Known bool
	// Seen says that the agent saw the start. Else Since counts from the agent's first poll
	// that the endpoint answered.
	Seen bool
	// Since is the time since then at ReceivedAt, negative if it is longer than a report can
	// tell.
	Since      time.Duration
	ReceivedAt time.Time
}

const (
	// samePoll is the difference up to which two reports tell of the same first poll: they
	// are rounded to 0.1 s and delayed differently.
	samePoll = 500 * time.Millisecond
	// initialRecordPeriod is how long after the first read of an entry an agent's first poll
	// counts as one of the same start, as after a kill of all our own processes. The
	// endpoints run on then, and what the first read says of them holds.
	initialRecordPeriod = 2 * time.Second
)

// Coldness is what is known about the coldness of one endpoint ID. Reports name no start of
// which records could tell whether it is theirs, so that the latest end that is known holds.
type Coldness struct {
	record    Record
	recordEnd time.Time
	// seenStart is the latest start that an agent saw, zero for none.
	seenStart time.Time
	// firstPoll is the latest first poll of an agent, and firstPollHeardAt when a report
	// first told of it; zero for none.
	firstPoll, firstPollHeardAt time.Time
}

// ApplyRecord applies a record. One that was applied already changes nothing, so that the end
// is fixed once for each revision.
func (c *Coldness) ApplyRecord(r Record) {
	if !r.Known || (c.record.Known && r.Era == c.record.Era && r.Revision == c.record.Revision) {
		return
	}
	end := r.ReceivedAt.Add(r.Left)
	follows := c.record.Known && r.Era == c.record.Era && r.Revision > c.record.Revision
	if follows || end.After(c.recordEnd) {
		c.recordEnd = end
	}
	if c.record.Known && r.Era == c.record.Era && !follows {
		// An older record does not hide that a newer one is known.
		return
	}
	c.record = r
}

// ApplyStart applies what a report says about the start of the endpoint.
func (c *Coldness) ApplyStart(s Start) {
	if !s.Known || s.Since < 0 {
		return
	}
	at := s.ReceivedAt.Add(-s.Since)
	if s.Seen {
		if at.After(c.seenStart) {
			c.seenStart = at
		}
		return
	}
	if c.firstPoll.IsZero() || at.Sub(c.firstPoll) > samePoll {
		c.firstPollHeardAt = s.ReceivedAt
	}
	if at.After(c.firstPoll) {
		c.firstPoll = at
	}
}

// Source is what tells that an endpoint is cold.
type Source string

// The sources.
const (
	// SourceRecord: its record in the store.
	SourceRecord Source = "record"
	// SourceStart: its agent saw it start.
	SourceStart Source = "start"
	// SourceFirstPoll: its agent has run for a short time and saw no start.
	SourceFirstPoll Source = "first_poll"
	// SourceSilence: its agent sends no reports.
	SourceSilence Source = "silence"
)

// End returns when the endpoint is warm, as far as is known, and what told the end. duration is
// how long an endpoint of its service is cold after a start. The end lies in the past for a
// warm endpoint.
func (c *Coldness) End(duration time.Duration) (end time.Time, source Source) {
	end, source = c.recordEnd, SourceRecord
	if start := c.seenStart.Add(duration); !c.seenStart.IsZero() && start.After(end) {
		end, source = start, SourceStart
	}
	if start := c.firstPoll.Add(duration); !c.firstPoll.IsZero() && start.After(end) && !c.recordOverridesFirstPoll() {
		end, source = start, SourceFirstPoll
	}
	return end, source
}

// recordOverridesFirstPoll reports whether the record is known to be newer than the agent's
// first poll, or both date from the start of this entry.
func (c *Coldness) recordOverridesFirstPoll() bool {
	if !c.record.Known {
		return false
	}
	if c.record.Initial && c.firstPoll.Sub(c.record.ReceivedAt) <= initialRecordPeriod {
		return true
	}
	return c.record.ReceivedAt.After(c.firstPollHeardAt)
}

// silenceMargin is how much longer than the coldness after a start the store has to say that
// an endpoint without reports is not cold: the delay of records, with some reserve.
const silenceMargin = time.Second

// Silence describes an endpoint whose agent sends no reports.
type Silence struct {
	// Since is when the reports became too old.
	Since time.Time
	// StoreUpSince is since when the store answers without a break, zero while it does not.
	StoreUpSince time.Time
}

// Cold reports whether an endpoint without reports counts as cold: until the store would have
// told of a start. Otherwise the endpoint of a dead agent would never be used again.
func (s Silence) Cold(now time.Time, c *Coldness, duration time.Duration) bool {
	if s.StoreUpSince.IsZero() {
		return true
	}
	since := s.Since
	for _, other := range []time.Time{s.StoreUpSince, c.recordEnd} {
		if other.After(since) {
			since = other
		}
	}
	return now.Sub(since) < duration+silenceMargin
}
