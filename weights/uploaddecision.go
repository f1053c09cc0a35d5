package weights

// UploadDecision is the outcome of admission of a request for a stored chunk.
type UploadDecision uint8

// The outcomes.
const (
	// UploadServe means that the chunk is sent.
	UploadServe UploadDecision = iota
	// UploadBusy means that too many uploads run.
	UploadBusy
	// UploadSpread means that the request is left to others that hold the
	// chunk now or soon.
	UploadSpread
)
