package directory

// Basis says what the time is from which the version bound of a declaration counts.
type Basis string

const (
	// BasisLastAnswer is the last answer of the store without the version.
	BasisLastAnswer Basis = "last answer"
	// BasisOutage is the last failed call of an outage of the store.
	BasisOutage Basis = "outage"
	// BasisGuess is a guess after a start.
	BasisGuess Basis = "guess"
	// BasisFirstRead is the first time at which a process read the version.
	BasisFirstRead Basis = "first read"
)
