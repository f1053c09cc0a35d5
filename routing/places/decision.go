package places

import (
	"time"
)

// Verdict is what becomes of an ask.
type Verdict uint8

// The verdicts.
const (
	// Start: the request goes to the endpoint now.
	Start Verdict = iota
	// Hold: the request waits in the pool.
	Hold
	// Refuse: there will be no room in time.
	Refuse
)

// Decision is the answer to an ask.
type Decision struct {
	Verdict  Verdict
	Endpoint string        // With Start.
	Wait     time.Duration // Expected wait, with Hold and Refuse.
	// Reason says why a request is refused.
	Reason Reason
	// Seen is what the choice of the endpoint rested on, with Start.
	Seen Seen
}

// Seen is what is believed of an endpoint at one moment.
type Seen struct {
	Load      float64       // Requests there, of all entries.
	ReportAge time.Duration // Age of the report behind it; -1 for none.
	Free      int           // Free places at all endpoints together.
}

// seenAt returns what is believed of an endpoint now, while the given number of
// slots is free in all.
func (p *Pool) seenAt(now time.Time, s *state, free int) Seen {
	seen := Seen{Load: s.load(now, &p.config, p.entries, p.crowd(free)), ReportAge: -1, Free: free}
	if !s.report.At.IsZero() {
		seen.ReportAge = now.Sub(s.report.At)
	}
	return seen
}

// Reason says why a request is refused.
type Reason string

// The reasons.
const (
	// ReasonNoEndpoint: no endpoint can serve at present.
	ReasonNoEndpoint Reason = "no endpoint can serve"
	// ReasonFull: a place would come too late.
	ReasonFull Reason = "no place in time"
	// ReasonExpired: the request waited as long as it was of use.
	ReasonExpired Reason = "waited too long for a place"
)
