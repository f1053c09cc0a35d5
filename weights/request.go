package weights

// Request is the decision to request one chunk from one source.
type Request struct {
	Chunk  int
	Source Source
	// Urgent asks the source not to refuse the request merely to spread load.
	Urgent bool
}
