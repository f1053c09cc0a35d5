package settings

import (
	"strings"

	"github.com/snipestep/snipestep/core"
)

// Digests binds a key to a comma-separated list of digests of bearer tokens.
func Digests(target *[]string) Value {
	return textValue{
		syntax:    "BLAKE3-256 digests of 64 hexadecimal digits, separated by commas",
		rangeText: "1 to 256 digests",
		set:       func(value string) bool { return setDigests(target, value) },
	}
}

func setDigests(target *[]string, value string) bool {
	digestTexts := strings.Split(value, ",")
	if len(digestTexts) > maxListItems {
		return false
	}
	digests := make([]string, 0, len(digestTexts))
	for _, text := range digestTexts {
		digest, err := core.ParseDigest(strings.TrimSpace(text))
		if err != nil {
			return false
		}
		digests = append(digests, digest.String())
	}
	*target = digests
	return true
}
