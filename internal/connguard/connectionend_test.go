package connguard

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// exchangePeer is a server on whose first connection exchanges end in different ways.
type exchangePeer struct {
	address string
	// serve handles the connection. What it returns, and how the connection ends after it, is sent to
	// ended.
	ended chan error
}

// newExchangePeer returns a server that runs serve, and then reads to the end of the connection.
func newExchangePeer(t *testing.T, serve func(*bufio.Reader, net.Conn) error) *exchangePeer {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &exchangePeer{address: listener.Addr().String(), ended: make(chan error, 1)}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			p.ended <- err
			return
		}
		defer conn.Close()
		reader := bufio.NewReader(conn)
		if err := serve(reader, conn); err != nil {
			p.ended <- err
			return
		}
		_, err = io.Copy(io.Discard, reader)
		p.ended <- err
	}()
	return p
}

// readRequest reads a request without a body.
func readRequest(r *bufio.Reader) error {
	_, err := http.ReadRequest(r)
	return err
}

// Guards against a server that stood still and takes what was written of a cancelled request for a whole
// one, as its connection ended in order, and against whole exchanges that end with a reset.
func TestOnlyCancelledRequestsEndWithAReset(t *testing.T) {
	const length, part = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", "ab"
	// Neither socket buffer takes a body of this size.
	const largeBody = 64 << 20
	for name, test := range map[string]struct {
		bodyBytes int
		// requests is how many are answered before the last one; written is what the server sends
		// then. The request is cancelled afterwards unless it is whole.
		requests int
		written  string
		whole    bool
	}{
		"before the response":               {},
		"in the response":                   {written: length + part},
		"while the request is written":      {bodyBytes: largeBody},
		"before the second response":        {requests: 1},
		"after the response":                {written: length + "abcd", whole: true},
		"after a response without a body":   {written: "HTTP/1.1 204 No Content\r\n\r\n", whole: true},
		"after the second response":         {requests: 1, written: length + "abcd", whole: true},
		"after an early, complete response": {bodyBytes: largeBody, written: length + "abcd", whole: true},
	} {
		t.Run(name, func(t *testing.T) {
			reached := make(chan struct{})
			peer := newExchangePeer(t, func(r *bufio.Reader, conn net.Conn) error {
				for range test.requests {
					if err := readRequest(r); err != nil {
						return err
					}
					_, _ = io.WriteString(conn, length+"abcd")
				}
				if err := readRequest(r); err != nil {
					return err
				}
				_, _ = io.WriteString(conn, test.written)
				close(reached)
				return nil
			})
			base := &http.Transport{DialContext: Wrap(new(net.Dialer).DialContext)}
			client := &http.Client{Transport: NewTransport(base)}
			send := func(ctx context.Context, bodyBytes int) (string, error) {
				body := io.Reader(http.NoBody)
				if bodyBytes > 0 {
					body = strings.NewReader(strings.Repeat("x", bodyBytes))
				}
				request, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/", peer.address), body)
				assert.NilError(t, err)
				response, err := client.Do(request)
				if err != nil {
					return "", err
				}
				defer response.Body.Close()
				text, err := io.ReadAll(response.Body)
				return string(text), err
			}
			for range test.requests {
				text, err := send(t.Context(), 0)
				assert.NilError(t, err)
				assert.Equal(t, text, "abcd")
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			answered := make(chan error, 1)
			go func() {
				_, err := send(ctx, test.bodyBytes)
				answered <- err
			}()
			<-reached
			if !test.whole {
				cancel()
			}
			err := <-answered
			cancel()
			client.CloseIdleConnections()
			end := <-peer.ended
			if test.whole {
				assert.NilError(t, err)
				assert.NilError(t, end)
				return
			}
			assert.Assert(t, errors.Is(err, context.Canceled), "%v", err)
			assert.Assert(t, errors.Is(end, syscall.ECONNRESET), "the connection ended with %v", end)
		})
	}
}
