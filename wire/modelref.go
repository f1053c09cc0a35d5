package wire

import "github.com/snipestep/snipestep/core"

// FromModelRef encodes a model reference; the zero value gives nil.
func FromModelRef(m core.ModelRef) *ModelRef {
	if m.IsZero() {
		return nil
	}
	return &ModelRef{Model: m.Model, Version: m.Version, Manifest: m.Manifest[:]}
}

// ToModelRef decodes a model reference; nil gives the zero value.
func ToModelRef(m *ModelRef) core.ModelRef {
	return core.ModelRef{
		Model:    m.GetModel(),
		Version:  m.GetVersion(),
		Manifest: ToDigest(m.GetManifest()),
	}
}

// ToDigest decodes a digest; any length other than core.DigestSize gives the
// zero value.
func ToDigest(raw []byte) core.Digest {
	var d core.Digest
	if len(raw) == core.DigestSize {
		copy(d[:], raw)
	}
	return d
}
