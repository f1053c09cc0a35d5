package loadreport_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/loadreport"
)

var briefKey = bytes.Repeat([]byte{7}, 32)

func TestBriefSurvivesItsDatagram(t *testing.T) {
	brief := loadreport.Brief{
		Document: 9,
		Service:  loadreport.BriefService{Name: "lm", Model: "m", Slots: 12, Layers: 16, Chunks: 64, ChunkBytes: 32768, ReadRate: 30600},
		Origin:   loadreport.BriefOrigin{Name: "o", Address: "10.0.0.1:80", Domain: "a"},
	}
	data, err := brief.Encode(briefKey)
	assert.NilError(t, err)
	assert.Assert(t, loadreport.IsBrief(data))
	got, err := loadreport.DecodeBrief(briefKey, data)
	assert.NilError(t, err)
	assert.Equal(t, got, brief)
}

func TestBriefOfAnotherKeyIsRefused(t *testing.T) {
	data, err := loadreport.Brief{Document: 1}.Encode(briefKey)
	assert.NilError(t, err)
	var foreign *loadreport.ForeignBriefError
	_, err = loadreport.DecodeBrief([]byte("another key"), data)
	assert.Assert(t, errors.As(err, &foreign))
	data[len(data)-2]++
	_, err = loadreport.DecodeBrief(briefKey, data)
	assert.Assert(t, errors.As(err, &foreign), "changed on the way")
}

func TestBriefThatFitsNoDatagramIsAnError(t *testing.T) {
	var format *loadreport.FormatError
	_, err := loadreport.Brief{Service: loadreport.BriefService{Name: strings.Repeat("x", loadreport.MaxBytes)}}.Encode(briefKey)
	assert.Assert(t, errors.As(err, &format))
	for _, data := range [][]byte{nil, {3}, loadreport.Ask{}.Encode()} {
		_, err := loadreport.DecodeBrief(briefKey, data)
		assert.Assert(t, errors.As(err, &format))
	}
}
