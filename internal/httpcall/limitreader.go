package httpcall

import "io"

// limitReader reads at most a number of bytes.
type limitReader struct {
	reader    io.Reader
	limit     int64
	remaining int64
}

// LimitReader returns a reader that, unlike io.LimitReader, fails with
// *TooLargeError if there are more than limit bytes.
func LimitReader(reader io.Reader, limit int64) io.Reader {
	return &limitReader{reader: reader, limit: limit, remaining: limit}
}

// Read implements io.Reader.
func (r *limitReader) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	// One byte more than allowed shows that there is more.
	if int64(len(p)) > r.remaining+1 {
		p = p[:r.remaining+1]
	}
	n, err := r.reader.Read(p)
	if int64(n) > r.remaining {
		n = int(r.remaining)
		r.remaining = 0
		return n, &TooLargeError{Limit: r.limit}
	}
	r.remaining -= int64(n)
	return n, err
}
