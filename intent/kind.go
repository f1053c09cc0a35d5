package intent

// Kind names the form of an Intent.
type Kind string

// The kinds of intents.
const (
	KindPlace  Kind = "place"
	KindRank   Kind = "rank"
	KindStop   Kind = "stop"
	KindDrain  Kind = "drain"
	KindResume Kind = "resume"
)
