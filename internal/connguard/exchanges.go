package connguard

import (
	"slices"
	"sync"
)

// Exchanges records on which connections one request was written. A server may write a response
// once more, and on such a connection the copy could not be told from the response to the request
// that is sent again. The zero value is an empty record; it is safe for concurrent use.
type Exchanges struct {
	mu    sync.Mutex // Taken last, with Conn.mu held.
	conns []*Conn
}

func (e *Exchanges) add(c *Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conns = append(e.conns, c)
}

func (e *Exchanges) contains(c *Conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Contains(e.conns, c)
}
