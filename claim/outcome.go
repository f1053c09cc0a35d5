package claim

// MaxBodySize is the length in bytes of the longest body that is kept.
const MaxBodySize = 4 << 10

// Outcome says how a granted call ended.
type Outcome struct {
	Key   string
	Claim string
	// NotRun says that the call did not begin and will not run under this
	// claim; the key may be claimed again.
	NotRun bool
	Status int
	Body   []byte
}
