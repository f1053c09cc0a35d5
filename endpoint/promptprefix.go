package endpoint

import "github.com/cespare/xxhash/v2"

// PromptPrefixBytes is the length of the prompt prefix that is hashed.
const PromptPrefixBytes = 64

// PromptPrefixHash identifies a prompt's prefix in cache events. It is the
// xxHash64 of the first PromptPrefixBytes bytes.
func PromptPrefixHash(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), PromptPrefixBytes)])
}
