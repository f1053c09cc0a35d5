package connguard

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// scriptedConn is a connection whose writes end with errors in turn, and whose reads give a response
// and then the end.
type scriptedConn struct {
	net.Conn
	response  string
	writeErrs []error
}

func (c *scriptedConn) Read(p []byte) (int, error) {
	if c.response == "" {
		return 0, io.EOF
	}
	n := copy(p, c.response)
	c.response = c.response[n:]
	return n, nil
}

func (c *scriptedConn) Write(p []byte) (int, error) {
	err := c.writeErrs[0]
	c.writeErrs = c.writeErrs[1:]
	if err != nil {
		return 0, err
	}
	return len(p), nil
}

// Guards against a connection whose end passes for that of a response although the request was not
// written whole, and against a sound end that does not.
func TestEndOfAConnectionIsThatOfAResponseAfterTheWholeRequest(t *testing.T) {
	for name, test := range map[string]struct {
		bodyBytes int64
		writes    []string
		lastErr   error
		response  string
		broken    bool
	}{
		"whole":                  {2, []string{"POST / HTTP/1.1\r\n\r\nab"}, nil, "x", false},
		"whole, in pieces":       {2, []string{"POST / HTTP/1.1\r\n", "\r", "\n", "a", "b"}, nil, "x", false},
		"whole, no body":         {0, []string{"GET / HTTP/1.1\r\n\r\n"}, nil, "x", false},
		"a byte is missing":      {3, []string{"POST / HTTP/1.1\r\n\r\nab"}, nil, "x", true},
		"end of head is missing": {0, []string{"GET / HTTP/1.1\r\n\r"}, nil, "x", true},
		"reset told to a write":  {1, []string{"POST / HTTP/1.1\r\n\r\n", "a"}, syscall.ECONNRESET, "x", true},
		"no response":            {3, []string{"POST / HTTP/1.1\r\n\r\nab"}, nil, "", false},
	} {
		t.Run(name, func(t *testing.T) {
			base := &scriptedConn{response: test.response, writeErrs: append(make([]error, len(test.writes)-1), test.lastErr)}
			conn := newConn(base)
			conn.claimant = &Progress{bodyBytes: test.bodyBytes}
			for _, part := range test.writes {
				_, _ = conn.Write([]byte(part))
			}
			_, err := io.ReadAll(conn)
			var broken *BrokenResponseError
			assert.Equal(t, errors.As(err, &broken), test.broken, "got %v", err)
			assert.Equal(t, err == nil, !test.broken)
			assert.Assert(t, test.lastErr == nil || errors.Is(err, test.lastErr))
		})
	}
}
