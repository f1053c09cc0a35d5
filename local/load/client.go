package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/snipestep/snipestep/internal/bearer"
	"github.com/snipestep/snipestep/problem"
)

const (
	callTimeout        = 90 * time.Second
	idleConnsPerEntry  = 4096
	maxPlainBodyBytes  = 1 << 20
	idleConnectionLife = 30 * time.Second
)

// client sends single calls and checks their answers.
type client struct {
	http     *http.Client
	balancer *balancer
	oracle   Oracle
	tokens   int // Tokens of a whole answer.
	now      func() time.Time
}

func newClient(config Config) *client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: idleConnsPerEntry,
		IdleConnTimeout:     idleConnectionLife,
		DisableCompression:  true,
	}
	return &client{
		http:     &http.Client{Transport: transport, Timeout: callTimeout},
		balancer: &balancer{entries: config.Entries},
		oracle:   config.Oracle,
		tokens:   config.Scenario.Engines.OutputTokens,
		now:      time.Now,
	}
}

func (c *client) close() {
	c.http.CloseIdleConnections()
}

// completionRequest is the body of a model call.
type completionRequest struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// send sends a call once to an entry and reads its answer whole.
func (c *client) send(ctx context.Context, arrival *Arrival, entry int) result {
	if arrival.Class == ClassPurchase {
		return c.sendPurchase(ctx, arrival, entry)
	}
	return c.sendModel(ctx, arrival, entry)
}

func (c *client) sendModel(ctx context.Context, arrival *Arrival, entry int) result {
	prompt := arrival.Prompt()
	before := c.oracle.Begun(prompt)
	body, err := json.Marshal(completionRequest{
		Model:     ModelName,
		Messages:  []message{{Role: "user", Content: prompt}},
		MaxTokens: c.tokens,
		Stream:    true,
	})
	if err != nil {
		return result{outcome: OutcomeFailed}
	}
	answer, err := c.post(ctx, arrival, c.balancer.url(entry, completionPath), body)
	if err != nil {
		return result{outcome: OutcomeFailed}
	}
	defer answer.Body.Close()
	var got result
	if answer.StatusCode == http.StatusOK {
		got = c.readStream(answer, prompt)
	} else {
		got = refused(problem.Read(answer))
	}
	got.falseClaim = got.outcome == OutcomeNotRun && c.oracle.Begun(prompt) > before
	return got
}

func (c *client) sendPurchase(ctx context.Context, arrival *Arrival, entry int) result {
	body := arrival.Body()
	before := c.oracle.Runs(arrival.ID)
	answer, err := c.post(ctx, arrival, c.balancer.url(entry, purchasePath), body)
	if err != nil {
		return result{outcome: OutcomeFailed}
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		got := refused(problem.Read(answer))
		// Overlapping sends of one key cannot be told apart.
		alone := !arrival.Resend || !arrival.Overlap
		got.falseClaim = alone && got.outcome == OutcomeNotRun && c.oracle.Runs(arrival.ID) > before
		return got
	}
	got, err := io.ReadAll(io.LimitReader(answer.Body, maxPlainBodyBytes))
	if err != nil {
		return result{outcome: OutcomeFailed}
	}
	if !bytes.Equal(bytes.TrimSpace(got), c.oracle.PlainBody(PurchaseName, body)) {
		return result{outcome: OutcomeFailed, wrong: true}
	}
	return result{outcome: OutcomeAnswered}
}

func (c *client) post(ctx context.Context, arrival *Arrival, url string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", contentTypeJSON)
	bearer.SetToken(request, arrival.From.Token)
	request.Header.Set(CallIDHeader, arrival.ID)
	if arrival.Class == ClassPurchase {
		request.Header.Set(IdempotencyKey, arrival.ID)
	} else {
		request.Header.Set("Accept", contentTypeEvent)
		request.Header.Set(KindHeader, Kind(arrival.Rank))
	}
	// Without it the transport never sends a body twice by itself.
	request.GetBody = nil
	return c.http.Do(request)
}

// refused turns a problem document into a result. A refusal that does not say
// whether the call ran is a failure.
func refused(p *problem.Problem) result {
	got := result{outcome: OutcomeFailed, code: p.Code, retryAfter: time.Duration(p.RetryAfterMS) * time.Millisecond}
	switch p.Execution {
	case problem.ExecutionNotStarted:
		got.outcome = OutcomeNotRun
	case problem.ExecutionUnknown:
		got.outcome = OutcomeUnknown
	}
	return got
}
