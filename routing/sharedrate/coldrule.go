package sharedrate

const (
	// unreservedShare is the part of a bound that is divided. A tenth is kept for requests of
	// a process that stands still between a charge and the sending of its request.
	unreservedShare = 0.9
	// minDividedRate is the rate, in requests a second of all entries, below which cold
	// endpoints get nothing: the shares would be below the noise of a few requests.
	minDividedRate = 4.0
	// coldBurst is the burst of each entry. With n entries and the rate R in all, at most
	// R + n requests are sent within one second. Two requests would be 58 of a bound of 59
	// with 11 entries.
	coldBurst = 1.0
)

// ColdRule bounds the requests that all entries together send to a cold endpoint: within any
// one second at most PerSecond x Excess + Extra.
type ColdRule struct {
	PerSecond, Excess, Extra float64
}

// Share returns what each of a number of entries may send to a cold endpoint; ok is false if
// that is nothing, as always for an unknown number of entries, 0.
func (r ColdRule) Share(entries int) (share Allowance, ok bool) {
	if entries <= 0 {
		return Allowance{Burst: coldBurst}, false
	}
	n := float64(entries)
	rate := min(r.PerSecond, unreservedShare*(r.PerSecond*r.Excess+r.Extra)-n)
	// The comparison is false for a rate that is not a number.
	if !(rate > 0) || (rate < minDividedRate && rate < r.PerSecond) {
		return Allowance{Burst: coldBurst}, false
	}
	return Allowance{PerSecond: rate / n, Burst: coldBurst, MaxDebt: rate / n}, true
}
