package directory

import "time"

// Declaration is one declared version of a model.
type Declaration struct {
	Version uint64
	// DeclaredAt is the earliest known time at which a process learnt of the
	// version, on this process's monotonic clock.
	DeclaredAt time.Time
	// Estimated marks DeclaredAt as an estimate: the version was declared before
	// the process that learnt of it started.
	Estimated bool
}

// declaredAtTolerance is how much earlier a reported declaration time must be to
// replace the known one: ages are reported in steps of 100 ms.
const declaredAtTolerance = 150 * time.Millisecond

// refinedBy reports whether the time in a declaration of the same version replaces
// the known one: a known time replaces an estimate, otherwise the earlier one wins.
func (d Declaration) refinedBy(other Declaration) bool {
	if d.Estimated != other.Estimated {
		return d.Estimated
	}
	return other.DeclaredAt.Before(d.DeclaredAt.Add(-declaredAtTolerance))
}
