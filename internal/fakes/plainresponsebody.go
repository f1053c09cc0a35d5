package fakes

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// PlainResponseBody returns the response of a plain service to an operation. It
// is deterministic, so that a caller can verify it.
func PlainResponseBody(operation string, body []byte) []byte {
	return fmt.Appendf(nil, `{"operation":%q,"receipt":"%016x"}`, operation, xxhash.Sum64(body))
}
