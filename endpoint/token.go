package endpoint

// Token is one event of a stream.
type Token struct {
	Attempt string
	// Index is the token's position in the whole answer, from 0. The event
	// with Done has the number of tokens as its index, and no text.
	Index int
	Text  string
	Done  bool
	// Version is the model version that generated the token.
	Version string
}
