package runner

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

const headerTimeout = 10 * time.Second

// server serves a stand-in over HTTP.
type server struct {
	http *http.Server
	addr string
}

// startServer listens on addr; port 0 takes a free one.
func startServer(ctx context.Context, addr string, handler http.Handler) (*server, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, eris.Wrap(err, "listen for a stand-in")
	}
	s := &server{
		http: &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout},
		addr: listener.Addr().String(),
	}
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

func (s *server) url() string {
	return "http://" + s.addr
}

func (s *server) close() {
	_ = s.http.Close()
}
