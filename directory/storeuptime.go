package directory

import "time"

// storeUptime adds up the time in which the store answered since its first outage.
type storeUptime struct {
	// beforeLastRecovery is the uptime until the last recovery.
	beforeLastRecovery time.Duration
	// recoveredAt is when the last outage ended, zero before the first outage ended.
	recoveredAt time.Time
}

// recovered records the end of an outage.
func (u *storeUptime) recovered(now time.Time) {
	u.recoveredAt = now
}

// lost records the start of an outage, which may be before the last recovery.
func (u *storeUptime) lost(now time.Time) {
	if !u.recoveredAt.IsZero() {
		u.beforeLastRecovery += max(u.sinceRecovery(now), 0)
	}
}

// sinceRecovery returns the time since the last outage ended.
func (u *storeUptime) sinceRecovery(now time.Time) time.Duration {
	return now.Sub(u.recoveredAt)
}

// total returns the uptime while the store answers.
func (u *storeUptime) total(now time.Time) time.Duration {
	return u.beforeLastRecovery + u.sinceRecovery(now)
}
