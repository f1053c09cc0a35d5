package core

// ModelRef identifies one complete version of a model. The manifest's digest
// binds the version to its bytes.
type ModelRef struct {
	Model    string `json:"model"`
	Version  string `json:"version"`
	Manifest Digest `json:"manifest"`
}

// IsZero reports whether the reference is unset.
func (m ModelRef) IsZero() bool {
	return m == ModelRef{}
}
