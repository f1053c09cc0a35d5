package weights

// File is one file of a model version. Paths use slashes and are relative.
type File struct {
	Path string
	Size int64 // Bytes.
}
