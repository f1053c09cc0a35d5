package endpoint

import "github.com/cespare/xxhash/v2"

// PromptPrefixBytes is the length of the prompt prefix that is hashed.
const PromptPrefixBytes = 64

// PromptPrefix identifies a prompt's prefix in cache events: it is the xxHash64
// of the first PromptPrefixBytes bytes.
func PromptPrefix(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), PromptPrefixBytes)])
}
