package loadreport

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/json"
)

// Brief is what an agent needs of the document in force: its own service and
// the origin of weights. An entry sends it to an agent that knows no document,
// since the whole one may have a megabyte, more than the links between regions
// bear when all agents start at once.
type Brief struct {
	Document uint64       `json:"document"` // Version of the document.
	Service  BriefService `json:"service"`
	Origin   BriefOrigin  `json:"origin"` // Zero where the document names none.
}

// BriefService is a service of engines.
type BriefService struct {
	Name       string  `json:"name"`
	Model      string  `json:"model"`
	Slots      int     `json:"slots"`
	Layers     int     `json:"layers"`
	Chunks     int     `json:"chunks"`
	ChunkBytes int     `json:"chunk_bytes"`
	ReadRate   float64 `json:"read_rate"` // Prompt tokens a second.
}

// BriefOrigin is an origin of weights.
type BriefOrigin struct {
	Name    string `json:"name"`
	Address string `json:"address"` // IP:port.
	Domain  string `json:"domain"`
}

// ForeignBriefError reports a brief that was not signed with the fleet's key.
type ForeignBriefError struct {
	Bytes int
}

// Error implements error.
func (e *ForeignBriefError) Error() string {
	return "brief is not signed with the key of this fleet"
}

// IsBrief reports whether a datagram is a brief.
func IsBrief(b []byte) bool {
	return len(b) > 0 && b[0] == kindBrief
}

// Encode returns the brief's datagram, signed with the fleet's key. It returns
// *FormatError if it would be longer than MaxBytes.
func (b Brief) Encode(fleetKey []byte) ([]byte, error) {
	body, err := json.Marshal(b)
	if err != nil {
		return nil, &FormatError{}
	}
	data := append([]byte{kindBrief}, sign(fleetKey, body)...)
	data = append(data, body...)
	if len(data) > MaxBytes {
		return nil, &FormatError{Bytes: len(data)}
	}
	return data, nil
}

// DecodeBrief decodes a brief and checks its signature. It returns *FormatError
// or *ForeignBriefError.
func DecodeBrief(fleetKey, data []byte) (Brief, error) {
	var b Brief
	if !IsBrief(data) || len(data) <= 1+sha256.Size {
		return b, &FormatError{Bytes: len(data)}
	}
	signature, body := data[1:1+sha256.Size], data[1+sha256.Size:]
	if !hmac.Equal(signature, sign(fleetKey, body)) {
		return b, &ForeignBriefError{Bytes: len(data)}
	}
	if err := json.Unmarshal(body, &b); err != nil {
		return b, &FormatError{Bytes: len(data)}
	}
	return b, nil
}

func sign(key, body []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte("snipestep brief"))
	mac.Write(body)
	return mac.Sum(nil)
}
