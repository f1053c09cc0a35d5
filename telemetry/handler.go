package telemetry

import (
	"io"
	"net/http"
)

// Handler serves /metrics, /healthz and /readyz. ready returns nil if the
// program is ready to serve; its error becomes the body of a 503 response.
func (t *Telemetry) Handler(ready func() error) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", t.metricsHandler)
	mux.HandleFunc("GET /healthz", serveHealth)
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		serveReady(w, ready())
	})
	return mux
}

func serveHealth(w http.ResponseWriter, _ *http.Request) {
	writeLine(w, http.StatusOK, "ok")
}

func serveReady(w http.ResponseWriter, err error) {
	if err != nil {
		writeLine(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	writeLine(w, http.StatusOK, "ok")
}

func writeLine(w http.ResponseWriter, status int, line string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	// A failed write means that the client has disconnected.
	_, _ = io.WriteString(w, line+"\n")
}
