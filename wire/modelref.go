package wire

import "github.com/snipestep/snipestep/core"

// FromModelRef returns the message of a model reference.
func FromModelRef(m core.ModelRef) *ModelRef {
	if m.IsZero() {
		return nil
	}
	return &ModelRef{Model: m.Model, Version: m.Version, Manifest: m.Manifest[:]}
}

// ToModelRef returns the model reference of a message; nil gives the zero
// value.
func ToModelRef(m *ModelRef) core.ModelRef {
	return core.ModelRef{
		Model:    m.GetModel(),
		Version:  m.GetVersion(),
		Manifest: ToDigest(m.GetManifest()),
	}
}

// ToDigest returns the digest of a bytes field; any other length than
// core.DigestSize gives the zero value.
func ToDigest(raw []byte) core.Digest {
	var d core.Digest
	if len(raw) == core.DigestSize {
		copy(d[:], raw)
	}
	return d
}
