package endpoint

// Token is one event of a stream.
type Token struct {
	Attempt string
	// Index is the token's place in the whole answer, from 0. The event
	// with Done has the number of tokens and no text.
	Index int
	Text  string
	Done  bool
	// Version is the model version that made the token.
	Version string
}
