package directory

// Certainty says how far a declaration time is known.
type Certainty uint8

const (
	// Known times are those at which a process saw the version change.
	Known Certainty = iota
	// Estimated times are those of the store's first answer after an outage, or of a
	// later read of everything. The version may have been declared at any moment before.
	Estimated
	// Guessed times are made up: the version was declared before the process started.
	Guessed
)

// String returns the name for logs.
func (c Certainty) String() string {
	switch c {
	case Known:
		return "known"
	case Estimated:
		return "estimated"
	default:
		return "guessed"
	}
}
