package backing_test

import (
	"context"
	"maps"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/internal/fakes"
)

const (
	// slowPause is the time between two pieces of a slow answer, slowTimeout the
	// client's timeout then.
	slowPause   = time.Millisecond
	slowTimeout = time.Second
	// fastTimeout lets the bound in bytes act first.
	fastTimeout = 20 * time.Second
)

var endlessSpeeds = map[string]struct{ pause, timeout time.Duration }{
	"fast": {0, fastTimeout},
	"slow": {slowPause, slowTimeout},
}

// endlessCall is a call whose error for a lost answer is of the type wanted.
type endlessCall struct {
	call func(context.Context, backing.HTTPConfig) error
	want func(error) bool
}

// longCall is the call whose bound in bytes is above what the fake server sends.
const longCall = "list"

var endlessCalls = map[string]endlessCall{
	"get": {func(ctx context.Context, config backing.HTTPConfig) error {
		_, err := backing.NewHTTPKeyValue(config).Get(ctx, "k")
		return err
	}, hasType[*backing.UnavailableError]},
	longCall: {func(ctx context.Context, config backing.HTTPConfig) error {
		_, err := backing.NewHTTPKeyValue(config).List(ctx, "", "", 1)
		return err
	}, hasType[*backing.UnavailableError]},
	"swap": {func(ctx context.Context, config backing.HTTPConfig) error {
		_, err := backing.NewHTTPKeyValue(config).CompareAndSwap(ctx, "k", 0, []byte("v"), 0)
		return err
	}, hasType[*backing.UnknownOutcomeError]},
	"delete": {func(ctx context.Context, config backing.HTTPConfig) error {
		return backing.NewHTTPKeyValue(config).Delete(ctx, "k", 1)
	}, hasType[*backing.UnknownOutcomeError]},
	"grant": {func(ctx context.Context, config backing.HTTPConfig) error {
		_, err := backing.NewHTTPKeyValue(config).Grant(ctx, time.Second)
		return err
	}, hasType[*backing.UnknownOutcomeError]},
	"instances": {func(ctx context.Context, config backing.HTTPConfig) error {
		_, err := backing.NewHTTPInstanceList(config).Instances(ctx)
		return err
	}, hasType[*backing.UnavailableError]},
	"resolve": {func(ctx context.Context, config backing.HTTPConfig) error {
		_, err := backing.NewHTTPWeightStore(config).Resolve(ctx, "m", "v1")
		return err
	}, hasType[*backing.UnavailableError]},
	"manifest": {func(ctx context.Context, config backing.HTTPConfig) error {
		_, err := backing.NewHTTPWeightStore(config).Manifest(ctx, core.Digest{})
		return err
	}, hasType[*backing.UnavailableError]},
	"chunk": {func(ctx context.Context, config backing.HTTPConfig) error {
		_, err := backing.NewHTTPOrigin(config).Chunk(ctx, core.Digest{}, 0)
		return err
	}, hasType[*backing.UnavailableError]},
}

// Guards against an answer without end that holds a call, counts as an answer, or
// whose connection carries another request. A write may have taken effect.
func TestEndlessAnswerIsALostOne(t *testing.T) {
	answers := fakes.EndlessHeads()
	maps.Copy(answers, fakes.EndlessBodies("HTTP/1.1 200 OK", backing.VersionHeader+": 1\r\n", "{}", strings.Repeat(" ", 16)))
	for name, answer := range fakes.EndlessBodies("HTTP/1.1 409 Conflict", "", `{"code":"conflict"}`, strings.Repeat(" ", 16)) {
		answers["conflict, "+name] = answer
	}
	for answerName, answer := range answers {
		for callName, call := range endlessCalls {
			for speedName, speed := range endlessSpeeds {
				if callName == longCall && speed.pause == 0 && (strings.Contains(answerName, "body") || strings.Contains(answerName, "chunks")) {
					continue
				}
				t.Run(answerName+"/"+callName+"/"+speedName, func(t *testing.T) {
					t.Parallel()
					server, err := fakes.StartEndlessServer(answer.WithPause(speed.pause))
					assert.NilError(t, err)
					t.Cleanup(server.Close)
					config := backing.HTTPConfig{BaseURL: "http://" + server.Address(), Timeout: speed.timeout}
					err = call.call(t.Context(), config)
					assert.Assert(t, call.want(err), "got %v", err)
					ended := <-server.Ended()
					assert.Assert(t, ended.PeerClosed)
					assert.Equal(t, ended.Requests, 1)
				})
			}
		}
	}
}
