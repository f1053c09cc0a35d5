package loadreport_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/loadreport"
)

var testFleetKey = bytes.Repeat([]byte{7}, 32)

func TestAgentConfigRoundTrip(t *testing.T) {
	config := loadreport.AgentConfig{
		DocumentVersion: 9,
		Service:         loadreport.ServiceConfig{Name: "lm", Model: "m", Slots: 12, Layers: 16, Chunks: 64, ChunkBytes: 32768, PrefillTokensPerSecond: 30600},
		Origin:          loadreport.OriginConfig{Name: "o", Address: "10.0.0.1:80", FailureDomain: "a"},
	}
	data, err := config.Encode(testFleetKey)
	assert.NilError(t, err)
	assert.Assert(t, loadreport.IsAgentConfig(data))
	decoded, err := loadreport.DecodeAgentConfig(testFleetKey, data)
	assert.NilError(t, err)
	assert.Equal(t, decoded, config)
}

func TestAgentConfigWithInvalidSignatureIsRejected(t *testing.T) {
	data, err := loadreport.AgentConfig{DocumentVersion: 1}.Encode(testFleetKey)
	assert.NilError(t, err)
	var signatureErr *loadreport.SignatureError
	_, err = loadreport.DecodeAgentConfig([]byte("another key"), data)
	assert.Assert(t, errors.As(err, &signatureErr))
	data[len(data)-2]++
	_, err = loadreport.DecodeAgentConfig(testFleetKey, data)
	assert.Assert(t, errors.As(err, &signatureErr), "body was altered in transit")
}

func TestOversizedOrMalformedAgentConfigIsAnError(t *testing.T) {
	var formatErr *loadreport.FormatError
	_, err := loadreport.AgentConfig{Service: loadreport.ServiceConfig{Name: strings.Repeat("x", loadreport.MaxDatagramBytes)}}.Encode(testFleetKey)
	assert.Assert(t, errors.As(err, &formatErr))
	for _, data := range [][]byte{nil, {3}, loadreport.Subscription{}.Encode()} {
		_, err := loadreport.DecodeAgentConfig(testFleetKey, data)
		assert.Assert(t, errors.As(err, &formatErr))
	}
}
