package weights

import (
	"io"
	"io/fs"

	"github.com/rotisserie/eris"
)

// ChunkReader reads single chunks of a manifest from its files. It is safe for
// concurrent use.
type ChunkReader struct {
	fsys     fs.FS
	manifest *Manifest
}

// NewChunkReader returns a reader of m's chunks from the files in fsys.
func NewChunkReader(fsys fs.FS, m *Manifest) *ChunkReader {
	return &ChunkReader{fsys: fsys, manifest: m}
}

// Chunk reads chunk i. The bytes are not verified. It blocks on file reads and
// returns *ChunkIndexError or a wrapped file error.
func (r *ChunkReader) Chunk(i int) ([]byte, error) {
	if i < 0 || i >= len(r.manifest.Chunks) {
		return nil, &ChunkIndexError{Chunk: i, Chunks: len(r.manifest.Chunks)}
	}
	offset := int64(i) * int64(r.manifest.ChunkSize)
	files := r.manifest.Files
	for offset >= files[0].Size {
		offset -= files[0].Size
		files = files[1:]
	}
	stream := &fileStream{fsys: r.fsys, files: files}
	defer stream.close()
	if err := stream.skip(offset); err != nil {
		return nil, eris.Wrapf(err, "seeking chunk %d", i)
	}
	data := make([]byte, r.manifest.ChunkLength(i))
	if _, err := io.ReadFull(stream, data); err != nil {
		return nil, eris.Wrapf(err, "reading chunk %d", i)
	}
	return data, nil
}

// skip opens the first file at offset.
func (s *fileStream) skip(offset int64) error {
	if err := s.openNext(); err != nil {
		return err
	}
	s.remaining -= offset
	if seeker, ok := s.current.(io.Seeker); ok {
		_, err := seeker.Seek(offset, io.SeekStart)
		return err
	}
	_, err := io.CopyN(io.Discard, s.current, offset)
	return err
}
