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
}

// declaredAtTolerance is how much earlier a reported declaration time must be to
// replace the known one: ages are reported in steps of 100 ms.
const declaredAtTolerance = 150 * time.Millisecond

// refinedBy reports whether the time in a declaration of the same version replaces
// this one: a more certain time does, otherwise the earlier one wins.
func (d Declaration) refinedBy(other Declaration) bool {
	if d.Certainty != other.Certainty {
		return other.Certainty < d.Certainty
	}
	return other.DeclaredAt.Before(d.DeclaredAt.Add(-declaredAtTolerance))
}
