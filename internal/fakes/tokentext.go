package fakes

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// TokenText returns the text of one token that an engine serving the version
// generates for the prompt. It is deterministic, so that a caller can verify a
// complete answer.
func TokenText(prompt, version string, index int) string {
	sum := xxhash.Sum64String(strconv.Itoa(index) + "\x00" + version + "\x00" + prompt)
	return fmt.Sprintf("%06x ", sum&0xffffff)
}
