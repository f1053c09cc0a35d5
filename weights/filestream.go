package weights

import (
	"errors"
	"io"
	"io/fs"
)

// fileStream reads files one after the other as a single stream.
type fileStream struct {
	fsys      fs.FS
	files     []File
	current   fs.File
	remaining int64 // Bytes left of the current file.
}

// Read implements io.Reader. A file of another size gives *FileSizeError.
func (s *fileStream) Read(p []byte) (int, error) {
	for s.remaining == 0 {
		if err := s.openNext(); err != nil {
			return 0, err
		}
	}
	n, err := s.current.Read(p[:min(int64(len(p)), s.remaining)])
	s.remaining -= int64(n)
	if errors.Is(err, io.EOF) && s.remaining > 0 {
		return n, &FileSizeError{Path: s.files[0].Path, Want: s.files[0].Size}
	}
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return n, err
}

func (s *fileStream) openNext() error {
	if s.current != nil {
		s.close()
		s.files = s.files[1:]
	}
	if len(s.files) == 0 {
		return io.EOF
	}
	file, err := s.fsys.Open(s.files[0].Path)
	if err != nil {
		return err
	}
	s.current, s.remaining = file, s.files[0].Size
	return nil
}

func (s *fileStream) close() {
	if s.current != nil {
		_ = s.current.Close()
		s.current = nil
	}
}
