package intent

// Kind identifies which field of an Intent is set.
type Kind string

// The kinds of intents.
const (
	KindPlace  Kind = "place"
	KindRank   Kind = "rank"
	KindStop   Kind = "stop"
	KindDrain  Kind = "drain"
	KindResume Kind = "resume"
)
