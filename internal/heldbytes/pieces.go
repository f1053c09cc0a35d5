package heldbytes

import (
	"errors"
	"io"
)

const (
	// firstPieceBytes and pieceBytes are the sizes of the first piece of a body whose length is
	// not known, and of the others.
	firstPieceBytes = 2 << 10
	pieceBytes      = 64 << 10
)

// ReadPieces reads a body to its end. Room for each piece is taken before it is read. The body is in
// pieces, so that a large one is not copied as it grows.
func ReadPieces(body io.Reader, held *Held) ([][]byte, error) {
	var pieces [][]byte
	for pieceSize := firstPieceBytes; ; pieceSize = pieceBytes {
		if err := held.AddBytes(pieceSize); err != nil {
			return nil, err
		}
		piece := make([]byte, pieceSize)
		n, err := readPiece(body, piece)
		if n > 0 {
			pieces = append(pieces, piece[:n])
		}
		switch {
		case errors.Is(err, io.EOF) && n == 0:
			return pieces, held.AddBytes(-pieceSize)
		case errors.Is(err, io.EOF):
			return pieces, nil
		case err != nil:
			return nil, err
		}
	}
}

// readPiece fills a piece. Unlike io.ReadFull it returns io.EOF at the end of a body only, whose
// reader returns io.ErrUnexpectedEOF if it was cut.
func readPiece(body io.Reader, piece []byte) (n int, err error) {
	for n < len(piece) && err == nil {
		var read int
		read, err = body.Read(piece[n:])
		n += read
	}
	return n, err
}

// ReadAll is ReadPieces for a body that is needed in one piece. While it is joined, the pieces and
// the whole are held.
func ReadAll(body io.Reader, held *Held) ([]byte, error) {
	pieces, err := ReadPieces(body, held)
	if err != nil || len(pieces) == 0 {
		return nil, err
	}
	if len(pieces) == 1 {
		return pieces[0], nil
	}
	size, pieceSizes := 0, 0
	for _, piece := range pieces {
		size += len(piece)
		pieceSizes += cap(piece)
	}
	if err := held.AddBytes(size); err != nil {
		return nil, err
	}
	whole := make([]byte, 0, size)
	for _, piece := range pieces {
		whole = append(whole, piece...)
	}
	return whole, held.AddBytes(-pieceSizes)
}
