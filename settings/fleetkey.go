package settings

import (
	"encoding/hex"
	"os"
	"strings"

	"github.com/snipestep/snipestep/core"
)

// The range of a fleet key's length in bytes.
const (
	MinFleetKeyBytes = 16
	MaxFleetKeyBytes = 64
)

const (
	fleetSection        = "fleet"
	fleetKeySetting     = "key"
	fleetKeyFileSetting = "key_file"
)

// fleetKeySource holds the fleet key in hexadecimal, or the path of its file.
type fleetKeySource struct {
	hex  string
	path string
}

func (k *fleetKeySource) schemaKeys() []Key {
	return []Key{
		{
			Name:  fleetKeySetting,
			Value: Text(&k.hex),
			Doc:   "Key with which processes of the fleet authenticate one another: 16 to 64 bytes in hexadecimal. Give either key or key_file.",
		},
		{
			Name:  fleetKeyFileSetting,
			Value: Text(&k.path),
			Doc:   "File that holds the fleet key in hexadecimal.",
		},
	}
}

// read returns the fleet key, or *Error.
func (k *fleetKeySource) read(file *File) ([]byte, error) {
	if (k.hex == "") == (k.path == "") {
		return nil, file.ErrorAt(fleetSection, fleetKeySetting, &ConflictError{Detail: "want exactly one of key and key_file"})
	}
	if k.hex != "" {
		return decodeFleetKey(file, fleetKeySetting, k.hex)
	}
	data, err := os.ReadFile(k.path)
	if err != nil {
		return nil, file.ErrorAt(fleetSection, fleetKeyFileSetting, err)
	}
	return decodeFleetKey(file, fleetKeyFileSetting, strings.TrimSpace(string(data)))
}

func decodeFleetKey(file *File, key, digits string) ([]byte, error) {
	raw, err := hex.DecodeString(digits)
	if err != nil || len(raw) < MinFleetKeyBytes || len(raw) > MaxFleetKeyBytes {
		// The text is a secret and must not appear in the error.
		return nil, file.ErrorAt(fleetSection, key, &FormatError{Text: "(hidden)", Want: "16 to 64 bytes in hexadecimal"})
	}
	return raw, nil
}

// policyKeys returns the keys for the policy and the region of the origin.
func policyKeys(policy *string, originRegion *string) []Key {
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
			Value:    Name(originRegion),
			Doc:      "Region in which the origin of weights stands.",
		},
	}
}

func locationKeys(location *core.Location) []Key {
	return []Key{
		{Name: "region", Required: true, Value: Name(&location.Region), Doc: "Region of the instance."},
		{Name: "failure_domain", Required: true, Value: Name(&location.FailureDomain), Doc: "Failure domain of the instance."},
		{Name: "rack", Value: OptionalName(&location.Rack), Doc: "Rack label of the instance; empty for none."},
	}
}
