package directory

import "time"

// Declaration is one declared version of a model, with the bounds on when it was
// declared. The store tells no times, so that each process knows only when it read the
// version and when it last had an answer without it. All times are those of bootclock.
type Declaration struct {
	Version uint64
	// NotBefore is the latest time at which the version is known not to have been
	// declared, zero if there is none.
	NotBefore time.Time
	// NotAfter is the earliest time at which a process is known to have read the
	// version.
	NotAfter time.Time
	// StoreAwayUntil is the start of the last failed call before this process learnt of
	// the version, if several calls had failed in a row; else zero. It is not reported:
	// one process may be cut off while the others read the store.
	StoreAwayUntil time.Time
	// GuessedAt stands in for NotBefore in a process that started after the
	// declaration, until other processes report it; zero in others.
	GuessedAt time.Time
}

const (
	// notAfterTolerance is how much earlier a reported NotAfter must be to count: ages
	// are reported in milliseconds, and the delays of datagrams vary.
	notAfterTolerance = 20 * time.Millisecond
	// notBeforeTolerance is how much later a reported NotBefore must be to count.
	notBeforeTolerance = 100 * time.Millisecond
	// contradictionTolerance is how far bounds of two processes may contradict each other
	// by the delays of datagrams. A NotBefore that lies further after the time at which
	// this process read the version is wrong.
	contradictionTolerance = 500 * time.Millisecond
)

// CountsFrom returns the time from which the version bound counts for requests. That is
// the earliest possible time of the declaration, except that it skips an outage of the
// store in which no process read the version.
func (d Declaration) CountsFrom() time.Time {
	from, _ := d.countsFrom()
	return from
}

// Basis returns what the time is that CountsFrom returns.
func (d Declaration) Basis() Basis {
	_, basis := d.countsFrom()
	return basis
}

func (d Declaration) countsFrom() (time.Time, Basis) {
	from, basis := d.NotBefore, BasisLastAnswer
	if d.StoreAwayUntil.After(from) {
		from, basis = d.StoreAwayUntil, BasisOutage
	}
	if from.IsZero() {
		from, basis = d.GuessedAt, BasisGuess
	}
	if from.IsZero() || from.After(d.NotAfter) {
		return d.NotAfter, BasisFirstRead
	}
	return from, basis
}

// ScheduledFrom returns the time from which the switches of the engines are scheduled:
// the same at all processes that read the version at the same time.
func (d Declaration) ScheduledFrom() time.Time {
	if d.NotBefore.IsZero() && !d.GuessedAt.IsZero() {
		return earliest(d.GuessedAt, d.NotAfter)
	}
	return d.NotAfter
}

// refinedBy reports whether the bounds of another declaration of the same version
// narrow those of this one by more than the tolerances.
func (d Declaration) refinedBy(other Declaration) bool {
	if !other.NotBefore.IsZero() && (d.NotBefore.IsZero() || other.NotBefore.After(d.NotBefore.Add(notBeforeTolerance))) {
		return true
	}
	return other.NotAfter.Before(d.NotAfter.Add(-notAfterTolerance))
}

// intersect returns this declaration with its bounds narrowed by those of another one
// of the same version.
func (d Declaration) intersect(other Declaration) Declaration {
	d.NotAfter = earliest(d.NotAfter, other.NotAfter)
	if !other.NotBefore.After(d.NotAfter.Add(contradictionTolerance)) {
		d.NotBefore = earliest(latest(d.NotBefore, other.NotBefore), d.NotAfter)
	}
	d.StoreAwayUntil = latest(d.StoreAwayUntil, other.StoreAwayUntil)
	if d.GuessedAt.IsZero() {
		d.GuessedAt = other.GuessedAt
	}
	return d
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// LogFields returns log fields for the time since the declaration, in milliseconds: at
// least age_ms, at most max_age_ms, which is left out if unknown. counted_ms is the time
// that the version bound counts, and basis where that starts.
func (d Declaration) LogFields(now time.Time) []any {
	from, basis := d.countsFrom()
	fields := []any{"age_ms", now.Sub(d.NotAfter).Milliseconds(), "counted_ms", now.Sub(from).Milliseconds(), "basis", string(basis)}
	if !d.NotBefore.IsZero() {
		fields = append(fields, "max_age_ms", now.Sub(d.NotBefore).Milliseconds())
	}
	return fields
}
