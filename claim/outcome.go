package claim

// MaxBodySize is the length of the longest response body that is kept, in bytes.
const MaxBodySize = 4 << 10

// Outcome says how a granted call ended.
type Outcome struct {
	Key     string
	ClaimID string
	// NotRun reports that the call did not begin and will not run under this
	// claim; the key may be claimed again.
	NotRun bool
	Status int
	Body   []byte
}
