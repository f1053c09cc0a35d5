package directory

import "time"

// Declaration is one declared version of a model.
type Declaration struct {
	Version uint64
	// DeclaredAt is the earliest known time at which a process learnt of the
	// version, on this process's monotonic clock.
	DeclaredAt time.Time
	// Certainty says how far DeclaredAt is known.
	Certainty Certainty
	// NotAfter is when this process read a version that was declared before it
	// started, zero for others. No later DeclaredAt can be right.
	NotAfter time.Time
}

// declaredAtTolerance is how much earlier a reported declaration time must be to
// replace the known one: ages are reported in steps of 100 ms.
const declaredAtTolerance = 150 * time.Millisecond

// lateTolerance is how much later than NotAfter a reported time may be: reports are
// truncated to 100 ms at each process that passes them on, and an entry notices a
// change up to 250 ms late.
const lateTolerance = 500 * time.Millisecond

// refinedBy reports whether the time in a declaration of the same version replaces
// this one: a more certain time does, otherwise the earlier one wins. A time after
// NotAfter is that of a process which learnt of the version late.
func (d Declaration) refinedBy(other Declaration) bool {
	if !d.NotAfter.IsZero() && other.DeclaredAt.After(d.NotAfter.Add(lateTolerance)) {
		return false
	}
	if d.Certainty != other.Certainty {
		return other.Certainty < d.Certainty
	}
	return other.DeclaredAt.Before(d.DeclaredAt.Add(-declaredAtTolerance))
}
