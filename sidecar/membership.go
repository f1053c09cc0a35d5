package sidecar

import (
	"slices"
	"time"
)

const (
	// membershipQuietPeriod is how long the list of agents must stay unchanged: long
	// enough for one more poll of the list, which follows 0.12 s later.
	membershipQuietPeriod = 150 * time.Millisecond
	// membershipMaxWait bounds the wait for the list: records that expired during
	// an outage of the store are written again within two seconds of its end.
	membershipMaxWait = 2500 * time.Millisecond
)

// membershipDebounce detects when the list of agents is complete after the start of
// this one. If all agents start at once, the list fills up within seconds; an agent
// that knows only a few others would fetch chunks from the origin that others fetch
// too.
type membershipDebounce struct {
	startedAt, changedAt time.Time
	members              []string // Sorted.
	settled              bool
}

// observe records the sorted addresses of the listed agents, and reports whether the
// list counts as complete. self is this agent's address.
func (m *membershipDebounce) observe(now time.Time, self string, members []string) bool {
	if m.settled {
		return true
	}
	if m.startedAt.IsZero() {
		m.startedAt = now
	}
	if m.changedAt.IsZero() || !slices.Equal(members, m.members) {
		m.members = members
		m.changedAt = now
	}
	quiet := now.Sub(m.changedAt) >= membershipQuietPeriod && slices.Contains(members, self)
	m.settled = quiet || now.Sub(m.startedAt) >= membershipMaxWait
	return m.settled
}
