package agent

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/endpoint"
	"github.com/snipestep/snipestep/internal/fakes"
	"github.com/snipestep/snipestep/wire"
)

const (
	endlessPrompt    = "endless"
	endlessMaxTokens = 3
)

// partlyEndlessEngine generates the answers to endlessPrompt at another engine.
type partlyEndlessEngine struct {
	endpoint.Engine
	endless endpoint.Engine
}

func (e partlyEndlessEngine) Generate(ctx context.Context, request endpoint.GenerateRequest) (endpoint.TokenStream, error) {
	if request.Prompt == endlessPrompt {
		return e.endless.Generate(ctx, request)
	}
	return e.Engine.Generate(ctx, request)
}

// endlessToken returns the event of a token of the attempt of endlessPrompt.
func endlessToken(index int) string {
	return fmt.Sprintf(`data: {"id":"a-%s","version":"v1","token_index":%d,"choices":[{"text":"t","finish_reason":null}]}`+"\n\n", endlessPrompt, index)
}

// Guards against an engine that goes on with tokens after the number requested,
// which the agent forwarded and kept until the caller's deadline.
func TestTokensWithoutEndBreakAttempt(t *testing.T) {
	for name, pause := range map[string]time.Duration{"fast": 0, "slow": time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			server, err := fakes.StartEndlessServer(fakes.EndlessAnswer{
				Opening: func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\n" },
				Piece:   endlessToken,
				Pause:   pause,
			})
			assert.NilError(t, err)
			t.Cleanup(server.Close)
			endless := endpoint.NewHTTPEngine(endpoint.HTTPConfig{BaseURL: "http://" + server.Address(), Timeout: 10 * time.Second})
			f := newFixtureWithEngine(t, 2, 0, func(engine endpoint.Engine) endpoint.Engine { return partlyEndlessEngine{engine, endless} })
			m := f.addModel("v1")
			f.serveModel(m)
			stream := f.startCall(m, core.RankNormal, endlessPrompt, endlessMaxTokens)
			for index := range uint32(endlessMaxTokens) {
				event := &wire.CallEvent{}
				assert.NilError(t, stream.Recv(event))
				assert.Equal(t, event.GetToken().GetIndex(), index)
			}
			event := &wire.CallEvent{}
			assert.NilError(t, stream.Recv(event))
			assert.Equal(t, event.GetBroken().GetCode(), CodeOutcomeUnknown, "got %v", event)
			ended := <-server.Ended()
			assert.Assert(t, ended.PeerClosed)
			assert.Equal(t, ended.Requests, 1)
			finalEvent := f.readToEnd(f.startCall(m, core.RankNormal, "other", 20), "other", "v1")
			assert.Equal(t, finalEvent.GetDone().GetTokens(), uint32(20))
		})
	}
}
