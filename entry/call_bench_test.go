package entry

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/snipestep/snipestep/endpoint"
	"github.com/snipestep/snipestep/internal/fakes"
)

// BenchmarkPlainCall compares a call through an entry and an agent with the same
// call sent directly to the endpoint.
func BenchmarkPlainCall(b *testing.B) {
	f := newTestFleet(b, 0, 1, 1)
	f.awaitAgents()
	direct := f.startServer(fakes.NewPlainService(fakes.PlainServiceConfig{Operations: []string{"balance"}, Slots: 4}, fakes.NewRunCounter()))
	plain := endpoint.NewHTTPPlainService(endpoint.HTTPConfig{BaseURL: direct})
	b.Run("direct", func(b *testing.B) {
		for b.Loop() {
			if _, err := plain.Call(f.ctx, endpoint.PlainRequest{Attempt: "a", Operation: "balance", Body: []byte("{}")}); err != nil {
				b.Fatal(err)
			}
		}
	})
	url := "http://" + f.entries[0].cfg.HTTPAddr + "/v1/services/counter/balance"
	b.Run("fleet", func(b *testing.B) {
		for b.Loop() {
			req, err := http.NewRequestWithContext(f.ctx, http.MethodPost, url, strings.NewReader("{}"))
			if err != nil {
				b.Fatal(err)
			}
			req.Header.Set("Authorization", "Bearer "+callerToken)
			req.Header.Set("Content-Type", "application/json")
			response, err := http.DefaultClient.Do(req)
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
			if response.StatusCode != http.StatusOK {
				b.Fatal(response.Status)
			}
		}
	})
}
