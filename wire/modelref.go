package wire

import "github.com/snipestep/snipestep/core"

// ModelRefToProto returns the message of a model reference.
func ModelRefToProto(m core.ModelRef) *ModelRef {
	if m.IsZero() {
		return nil
	}
	return &ModelRef{Model: m.Model, Version: m.Version, Manifest: m.Manifest[:]}
}

// ModelRefFromProto returns the model reference of a message; nil gives the zero
// value.
func ModelRefFromProto(m *ModelRef) core.ModelRef {
	return core.ModelRef{
		Model:    m.GetModel(),
		Version:  m.GetVersion(),
		Manifest: DigestFromBytes(m.GetManifest()),
	}
}

// DigestFromBytes returns the digest of a bytes field; any other length than
// core.DigestSize gives the zero value.
func DigestFromBytes(raw []byte) core.Digest {
	var d core.Digest
	if len(raw) == core.DigestSize {
		copy(d[:], raw)
	}
	return d
}
