package loadreport

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/json"
)

// AgentConfig is an agent configuration: the part of the current document that an
// agent needs, which is its own service and the origin of weights. An entry sends it
// to an agent that has no document, because the complete document can be a megabyte,
// more than the links between regions carry when all agents start at once.
type AgentConfig struct {
	DocumentVersion uint64        `json:"document"` // Version of the document.
	Service         ServiceConfig `json:"service"`
	Origin          OriginConfig  `json:"origin"` // Zero if the document names none.
}

// ServiceConfig is a service with model engines.
type ServiceConfig struct {
	Name                   string  `json:"name"`
	Model                  string  `json:"model"`
	Slots                  int     `json:"slots"`
	Layers                 int     `json:"layers"`
	Chunks                 int     `json:"chunks"`
	ChunkBytes             int     `json:"chunk_bytes"`
	PrefillTokensPerSecond float64 `json:"read_rate"`
}

// OriginConfig is an origin of weights.
type OriginConfig struct {
	Name          string `json:"name"`
	Address       string `json:"address"` // IP:port.
	FailureDomain string `json:"domain"`
}

// SignatureError reports a datagram whose signature does not match the fleet key.
type SignatureError struct {
	Bytes int
}

// Error implements error.
func (e *SignatureError) Error() string {
	return "datagram is not signed with the fleet key"
}

// IsAgentConfig reports whether a datagram is an agent configuration.
func IsAgentConfig(b []byte) bool {
	return len(b) > 0 && b[0] == kindAgentConfig
}

// Encode returns the configuration as a datagram signed with the fleet key. It
// returns *FormatError if the datagram would exceed MaxDatagramBytes.
func (c AgentConfig) Encode(fleetKey []byte) ([]byte, error) {
	body, err := json.Marshal(c)
	if err != nil {
		return nil, &FormatError{}
	}
	data := append([]byte{kindAgentConfig}, sign(fleetKey, agentConfigPurpose, body)...)
	data = append(data, body...)
	if len(data) > MaxDatagramBytes {
		return nil, &FormatError{Bytes: len(data)}
	}
	return data, nil
}

// DecodeAgentConfig decodes an agent configuration and verifies its signature. It
// returns *FormatError or *SignatureError.
func DecodeAgentConfig(fleetKey, data []byte) (AgentConfig, error) {
	var config AgentConfig
	if !IsAgentConfig(data) || len(data) <= 1+sha256.Size {
		return config, &FormatError{Bytes: len(data)}
	}
	signature, body := data[1:1+sha256.Size], data[1+sha256.Size:]
	if !hmac.Equal(signature, sign(fleetKey, agentConfigPurpose, body)) {
		return config, &SignatureError{Bytes: len(data)}
	}
	if err := json.Unmarshal(body, &config); err != nil {
		return config, &FormatError{Bytes: len(data)}
	}
	return config, nil
}

// agentConfigPurpose separates the signatures of agent configurations from those of
// other datagrams.
const agentConfigPurpose = "snipestep brief"

// sign returns the signature of a body. The purpose is part of the datagram's format.
func sign(key []byte, purpose string, body []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(purpose))
	mac.Write(body)
	return mac.Sum(nil)
}
