package weights

import (
	"bytes"

	"google.golang.org/protobuf/proto"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/wire"
)

// Encode returns the manifest's deterministic encoding.
func (m *Manifest) Encode() []byte {
	message := &wire.WeightManifest{
		Model:     m.Model,
		Version:   m.Version,
		ChunkSize: uint32(m.ChunkSize),
		Size:      m.Size,
		Chunks:    make([]byte, 0, len(m.Chunks)*core.DigestSize),
	}
	for _, f := range m.Files {
		message.Files = append(message.Files, &wire.WeightFile{Path: f.Path, Size: f.Size})
	}
	for _, d := range m.Chunks {
		message.Chunks = append(message.Chunks, d[:]...)
	}
	// Marshal fails only on strings that are not UTF-8; the empty result
	// then fails to decode.
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		return nil
	}
	return data
}

// DecodeManifest decodes data if its digest is want and validates the manifest.
// It returns *DigestMismatchError or *ManifestError.
func DecodeManifest(data []byte, want core.Digest) (*Manifest, error) {
	if len(data) > MaxManifestSize {
		return nil, &ManifestError{Field: "encoding", Detail: "too large"}
	}
	if got := core.SumDigest(data); got != want {
		return nil, &DigestMismatchError{Want: want, Got: got}
	}
	var message wire.WeightManifest
	if err := proto.Unmarshal(data, &message); err != nil {
		return nil, &ManifestError{Field: "encoding", Detail: err.Error()}
	}
	m, err := fromMessage(&message)
	if err != nil {
		return nil, err
	}
	if !bytes.Equal(m.Encode(), data) {
		return nil, &ManifestError{Field: "encoding", Detail: "not canonical"}
	}
	return m, nil
}

func fromMessage(message *wire.WeightManifest) (*Manifest, error) {
	if len(message.Chunks)%core.DigestSize != 0 {
		return nil, &ManifestError{Field: "chunks", Detail: "not a whole number of digests"}
	}
	m := &Manifest{
		Model:     message.Model,
		Version:   message.Version,
		ChunkSize: int(message.ChunkSize),
		Size:      message.Size,
		Chunks:    make([]core.Digest, len(message.Chunks)/core.DigestSize),
	}
	for _, f := range message.Files {
		m.Files = append(m.Files, File{Path: f.Path, Size: f.Size})
	}
	for i := range m.Chunks {
		copy(m.Chunks[i][:], message.Chunks[i*core.DigestSize:])
	}
	return m, m.Validate()
}
