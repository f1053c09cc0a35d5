package settings

import (
	"encoding/hex"
	"os"
	"strings"

	"github.com/snipestep/snipestep/core"
)

// The length of a fleet key in bytes.
const (
	MinFleetKeyBytes = 16
	MaxFleetKeyBytes = 64
)

const (
	fleetSection = "fleet"
	keyName      = "key"
	keyFileName  = "key_file"
)

// keySource is where the fleet key stands: in the settings or in a file.
type keySource struct {
	hex  string
	path string
}

func (k *keySource) keys() []Key {
	return []Key{
		{
			Name:  keyName,
			Value: Text(&k.hex),
			Doc:   "Key with which processes of the fleet authenticate one another: 16 to 64 bytes in hexadecimal. Give either key or key_file.",
		},
		{
			Name:  keyFileName,
			Value: Text(&k.path),
			Doc:   "File that holds the fleet key in hexadecimal.",
		},
	}
}

// read returns the fleet key, or *Error.
func (k *keySource) read(file *File) ([]byte, error) {
	if (k.hex == "") == (k.path == "") {
		return nil, file.ErrorAt(fleetSection, keyName, &ConflictError{Detail: "want exactly one of key and key_file"})
	}
	if k.hex != "" {
		return decodeFleetKey(file, keyName, k.hex)
	}
	data, err := os.ReadFile(k.path)
	if err != nil {
		return nil, file.ErrorAt(fleetSection, keyFileName, err)
	}
	return decodeFleetKey(file, keyFileName, strings.TrimSpace(string(data)))
}

func decodeFleetKey(file *File, key, digits string) ([]byte, error) {
	raw, err := hex.DecodeString(digits)
	if err != nil || len(raw) < MinFleetKeyBytes || len(raw) > MaxFleetKeyBytes {
		// The text stays out of the error: it is a secret.
		return nil, file.ErrorAt(fleetSection, key, &FormatError{Text: "(hidden)", Want: "16 to 64 bytes in hexadecimal"})
	}
	return raw, nil
}

// policyKeys are the policy keys that the programs share.
func policyKeys(policy *string, origin *string) []Key {
	return []Key{
		{
			Name:    "policy",
			Default: core.PolicySnipestep,
			Value:   Choice(policy, core.PolicySnipestep, core.PolicyBaseline),
			Doc:     "Policy of routing and weight distribution. baseline is for comparisons only.",
		},
		{
			Name:     "origin_region",
			Required: true,
			Value:    Name(origin),
			Doc:      "Region in which the origin of weights stands.",
		},
	}
}

func locationKeys(at *core.Location) []Key {
	return []Key{
		{Name: "region", Required: true, Value: Name(&at.Region), Doc: "Region of the instance."},
		{Name: "failure_domain", Required: true, Value: Name(&at.FailureDomain), Doc: "Failure domain of the instance."},
		{Name: "rack", Value: OptionalName(&at.Rack), Doc: "Rack label of the instance; empty for none."},
	}
}
