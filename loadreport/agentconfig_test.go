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
	config := loadreport.Brief{
		Document: 9,
		Service:  loadreport.BriefService{Name: "lm", Model: "m", Slots: 12, Layers: 16, Chunks: 64, ChunkBytes: 32768, ReadRate: 30600},
		Origin:   loadreport.BriefOrigin{Name: "o", Address: "10.0.0.1:80", Domain: "a"},
	}
	data, err := config.Encode(testFleetKey)
	assert.NilError(t, err)
	assert.Assert(t, loadreport.IsBrief(data))
	got, err := loadreport.DecodeBrief(testFleetKey, data)
	assert.NilError(t, err)
	assert.Equal(t, got, config)
}

func TestAgentConfigWithInvalidSignatureIsRejected(t *testing.T) {
	data, err := loadreport.Brief{Document: 1}.Encode(testFleetKey)
	assert.NilError(t, err)
	var signatureErr *loadreport.SignatureError
	_, err = loadreport.DecodeBrief([]byte("another key"), data)
	assert.Assert(t, errors.As(err, &signatureErr))
	data[len(data)-2]++
	_, err = loadreport.DecodeBrief(testFleetKey, data)
	assert.Assert(t, errors.As(err, &signatureErr), "body was altered in transit")
}

func TestOversizedOrMalformedAgentConfigIsAnError(t *testing.T) {
	var formatErr *loadreport.FormatError
	_, err := loadreport.Brief{Service: loadreport.BriefService{Name: strings.Repeat("x", loadreport.MaxBytes)}}.Encode(testFleetKey)
	assert.Assert(t, errors.As(err, &formatErr))
	for _, data := range [][]byte{nil, {3}, loadreport.Ask{}.Encode()} {
		_, err := loadreport.DecodeBrief(testFleetKey, data)
		assert.Assert(t, errors.As(err, &formatErr))
	}
}
