package ingress

import (
	"errors"
	"io"
)

const (
	// firstBodyBytes is the first size of the buffer of a body whose length is not known.
	firstBodyBytes = 4 << 10
	// maxFirstBodyBytes bounds it for one whose length is known: a length alone takes no memory.
	maxFirstBodyBytes = 64 << 10
)

// ReadBody reads a body of the given length, -1 if it is not known, and charges what it takes.
// It returns ErrMemory for a request that is to be refused.
func (c *Conn) ReadBody(body io.Reader, length int64) ([]byte, error) {
	size := firstBodyBytes
	if length >= 0 {
		size = int(min(length+1, maxFirstBodyBytes)) // One more byte reads the end.
	}
	buffer := []byte{}
	for {
		if len(buffer) == cap(buffer) {
			if cap(buffer) > 0 {
				size = 2 * cap(buffer)
				if length >= int64(cap(buffer)) {
					size = int(min(int64(size), length+1))
				}
			}
			// The buffer and its copy are both held while it grows.
			if err := c.HoldBody(cap(buffer) + size); err != nil {
				c.dropBody()
				return nil, err
			}
			larger := make([]byte, len(buffer), size)
			copy(larger, buffer)
			buffer = larger
			if err := c.HoldBody(size); err != nil {
				c.dropBody()
				return nil, err
			}
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if errors.Is(err, io.EOF) {
			return buffer, nil
		}
		if err != nil {
			if c.dropBody() {
				return nil, ErrMemory
			}
			return nil, err
		}
	}
}
