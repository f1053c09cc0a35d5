package endpoint

import "github.com/cespare/xxhash/v2"

// PrefixBytes is the length of the prompt prefix that cache events name.
const PrefixBytes = 64

// PromptPrefix returns the name of a prompt's prefix in cache events: the
// xxHash64 of its first PrefixBytes bytes.
func PromptPrefix(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), PrefixBytes)])
}
