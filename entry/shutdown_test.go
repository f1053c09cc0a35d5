package entry

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace/noop"
	"gotest.tools/v3/assert"
)

// Guards against calls that are cut without an answer when the grace of a planned stop ends.
func TestRunningCallIsAnsweredBeforeTheEntryEnds(t *testing.T) {
	calls := &callService{cfg: Config{CallTimeout: time.Hour}, tracer: noop.NewTracerProvider().Tracer(""), scope: tally.NoopScope}
	calls.ended, calls.end = context.WithCancel(t.Context())
	handler := &callerHandler{svc: calls, now: time.Now}
	began := make(chan struct{})
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: handler.traced(func(w http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
		handler.writeRefusal(w, finalRefusal(r.Context().Err(), true))
	})}
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	answers := make(chan int, 1)
	go func() {
		response, err := http.Get("http://" + listener.Addr().String())
		if err != nil {
			answers <- 0
			return
		}
		_ = response.Body.Close()
		answers <- response.StatusCode
	}()
	<-began
	shutDown(server, 200*time.Millisecond, calls.end)
	_ = server.Close()
	assert.Equal(t, <-answers, http.StatusGatewayTimeout)
}
