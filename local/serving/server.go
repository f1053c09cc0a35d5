package serving

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

const headerTimeout = 10 * time.Second

// Server serves a fake over HTTP.
type Server struct {
	http *http.Server
	// Addr is the address that it listens on, IP:port.
	Addr string
}

// Start serves handler on addr; port 0 selects a free port.
func Start(ctx context.Context, addr string, handler http.Handler) (*Server, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, eris.Wrap(err, "listen for a fake service")
	}
	s := &Server{
		http: &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout},
		Addr: listener.Addr().String(),
	}
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

// URL returns the base URL.
func (s *Server) URL() string {
	return "http://" + s.Addr
}

// Close closes the listener and all connections.
func (s *Server) Close() {
	_ = s.http.Close()
}
