package core

// ModelRef names one whole version of a model. The manifest's digest binds
// the version to its bytes.
type ModelRef struct {
	Model    string `json:"model"`
	Version  string `json:"version"`
	Manifest Digest `json:"manifest"`
}

// IsZero reports whether no model is named.
func (m ModelRef) IsZero() bool {
	return m == ModelRef{}
}
