package fleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/core"
)

// DocumentSizeError reports an encoded document larger than MaxDocumentBytes.
type DocumentSizeError struct {
	Bytes int
}

// Error implements error.
func (e *DocumentSizeError) Error() string {
	return fmt.Sprintf("configuration has %d bytes, at most %d are allowed", e.Bytes, MaxDocumentBytes)
}

// DecodeError reports bytes that are not an encoded document.
type DecodeError struct {
	Cause error
}

// Error implements error.
func (e *DecodeError) Error() string {
	return fmt.Sprintf("configuration cannot be decoded: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error {
	return e.Cause
}

// ErrTrailingData reports bytes after the end of an encoded document.
var ErrTrailingData = eris.New("data after the end of the document")

// DecodeDocument decodes and validates a JSON document. Unknown fields are
// ignored so that older programs can read newer documents. It returns
// *DocumentSizeError, *DecodeError or *DocumentError.
func DecodeDocument(data []byte) (*Document, error) {
	if len(data) > MaxDocumentBytes {
		return nil, &DocumentSizeError{Bytes: len(data)}
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	var d Document
	if err := decoder.Decode(&d); err != nil {
		return nil, &DecodeError{Cause: err}
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, &DecodeError{Cause: ErrTrailingData}
	}
	if err := d.Validate(); err != nil {
		return nil, err
	}
	return &d, nil
}

// Encode returns the document as JSON. Equal documents have equal encodings.
// It returns *DocumentSizeError.
func (d *Document) Encode() ([]byte, error) {
	data, err := json.Marshal(d)
	if err != nil {
		return nil, eris.Wrap(err, "encode configuration")
	}
	if len(data) > MaxDocumentBytes {
		return nil, &DocumentSizeError{Bytes: len(data)}
	}
	return data, nil
}

// Digest returns the digest of the document's JSON encoding, or the zero digest
// if it cannot be encoded.
func (d *Document) Digest() core.Digest {
	data, err := json.Marshal(d)
	if err != nil {
		return core.Digest{}
	}
	return core.SumDigest(data)
}

// Clone returns a deep copy, or nil for a nil document.
func (d *Document) Clone() *Document {
	if d == nil {
		return nil
	}
	c := *d
	c.Organisations = cloneEach(d.Organisations, Organisation.clone)
	c.RankRules = append([]RankRule(nil), d.RankRules...)
	c.Ranks = append([]RankPolicy(nil), d.Ranks...)
	c.Services = cloneEach(d.Services, Service.clone)
	c.Placements = cloneEach(d.Placements, Placement.clone)
	c.Stops = cloneEach(d.Stops, Stop.clone)
	c.History = append([]HistoryEntry(nil), d.History...)
	return &c
}

func cloneEach[T any](values []T, clone func(T) T) []T {
	var out []T
	for _, v := range values {
		out = append(out, clone(v))
	}
	return out
}

func (o Organisation) clone() Organisation {
	o.TokenDigests = append([]string(nil), o.TokenDigests...)
	return o
}

func (s Service) clone() Service {
	s.Operations = append([]Operation(nil), s.Operations...)
	return s
}

func (p Placement) clone() Placement {
	p.Adapters = append([]string(nil), p.Adapters...)
	return p
}

func (s Stop) clone() Stop {
	s.Instances = append([]core.InstanceID(nil), s.Instances...)
	return s
}
