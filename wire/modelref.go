package wire

import "github.com/snipestep/snipestep/core"

// ModelRefToProto encodes a model reference; the zero value gives nil.
func ModelRefToProto(m core.ModelRef) *ModelRef {
	if m.IsZero() {
		return nil
	}
	return &ModelRef{Model: m.Model, Version: m.Version, Manifest: m.Manifest[:]}
}

// ModelRefFromProto decodes a model reference; nil gives the zero value.
func ModelRefFromProto(m *ModelRef) core.ModelRef {
	return core.ModelRef{
		Model:    m.GetModel(),
		Version:  m.GetVersion(),
		Manifest: DigestFromBytes(m.GetManifest()),
	}
}

// DigestFromBytes decodes a digest; any length other than core.DigestSize gives
// the zero value.
func DigestFromBytes(raw []byte) core.Digest {
	var d core.Digest
	if len(raw) == core.DigestSize {
		copy(d[:], raw)
	}
	return d
}
