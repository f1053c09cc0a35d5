package weights

// UploadVerdict says what to do with a request for a held chunk.
type UploadVerdict uint8

// The verdicts on requests.
const (
	// UploadServe means that the chunk is sent.
	UploadServe UploadVerdict = iota
	// UploadBusy means that too many uploads run.
	UploadBusy
	// UploadSpread means that others have the chunk now or soon.
	UploadSpread
)
