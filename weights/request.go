package weights

// Request is the decision to request one chunk from one source.
type Request struct {
	Chunk  int
	Source Source
	// Urgent asks the source not to refuse in order to spread load.
	Urgent bool
}
