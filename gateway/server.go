package gateway

import (
	"context"
	"log"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// balancerNotice is how long the balancer takes at most to send no new
	// connections: two questions, one a second, and a margin. Requests that are
	// sent later than 3 s after the signal have no time left to end.
	balancerNotice = 2800 * time.Millisecond
	// stopMargin is kept before the process would be killed.
	stopMargin = 700 * time.Millisecond
	// stopPoll is how often a stopping server looks for open requests.
	stopPoll = 50 * time.Millisecond
	// maxHeaderBytes bounds what is read of a header before its request is
	// compared with the document's limit, 16 KiB in known deployments.
	maxHeaderBytes = 256 << 10
)

// Server listens for callers and for the balancer.
type Server struct {
	Gateway *Gateway
	// CallerAddr and ReadyAddr are IP:port.
	CallerAddr, ReadyAddr string
	// StopGrace is the time from the signal to stop to the kill.
	StopGrace time.Duration
	Logger    *slog.Logger
}

// Run serves until ctx ends, then finishes the open requests. It blocks for up
// to StopGrace after that.
func (s *Server) Run(ctx context.Context) error {
	var config net.ListenConfig
	callers, err := config.Listen(ctx, "tcp", s.CallerAddr)
	if err != nil {
		return eris.Wrapf(err, "listen for callers on %s", s.CallerAddr)
	}
	ready, err := config.Listen(ctx, "tcp", s.ReadyAddr)
	if err != nil {
		return eris.Wrapf(err, "listen for the balancer on %s", s.ReadyAddr)
	}
	quiet := log.New(&debugWriter{logger: s.Logger}, "", 0)
	waits := newCallers()
	// No time limits here: callers keeps those of the document in force.
	server := &http.Server{
		Handler: s.Gateway, MaxHeaderBytes: maxHeaderBytes, ErrorLog: quiet,
		ConnState: func(conn net.Conn, state http.ConnState) { waits.changed(conn, state, time.Now()) },
	}
	readiness := &http.Server{
		Handler: http.HandlerFunc(s.Gateway.ServeReady), ReadHeaderTimeout: defaultHeaderTimeout, ErrorLog: quiet,
	}
	go s.closeOverdue(ctx, waits)
	go func() { _ = readiness.Serve(ready) }()
	go func() { _ = server.Serve(callers) }()
	<-ctx.Done()
	s.stop(server)
	_ = readiness.Close()
	return nil
}

// closeOverdue closes connections that overstep the limits until ctx ends.
func (s *Server) closeOverdue(ctx context.Context, waits *callers) {
	ticker := time.NewTicker(callersTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			late := waits.overdue(now, s.Gateway.limits())
			for _, conn := range late {
				_ = conn.Close()
			}
			if len(late) > 0 {
				s.Logger.Debug("closed overdue connections", "count", len(late))
			}
		}
	}
}

// stop lets open requests end. Callers that connect until the balancer has
// noticed are still served.
func (s *Server) stop(server *http.Server) {
	began := time.Now()
	s.Gateway.Drain()
	s.Logger.Info("stopping", "open_requests", s.Gateway.Active())
	last := began.Add(s.StopGrace - stopMargin)
	for now := began; now.Before(last); now = time.Now() {
		if now.Sub(began) >= balancerNotice {
			s.Gateway.Refuse()
			if s.Gateway.Active() == 0 {
				break
			}
		}
		time.Sleep(stopPoll)
	}
	s.Logger.Info("stopped", "open_requests", s.Gateway.Active(), "took_ms", time.Since(began).Milliseconds())
	_ = server.Close()
}

// debugWriter logs what net/http has to say, mostly of callers that left.
type debugWriter struct {
	logger *slog.Logger
}

// Write implements io.Writer.
func (w *debugWriter) Write(line []byte) (int, error) {
	w.logger.Debug("http server", "message", string(line))
	return len(line), nil
}
