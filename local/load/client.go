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
	callTimeout       = 90 * time.Second
	idleConnsPerEntry = 4096
	maxPlainBodyBytes = 1 << 20
	idleConnTimeout   = 30 * time.Second
)

// client sends single requests and checks the responses.
type client struct {
	http         *http.Client
	balancer     *balancer
	oracle       Oracle
	outputTokens int // Tokens of a complete response.
	now          func() time.Time
}

func newClient(config Config) *client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: idleConnsPerEntry,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
	return &client{
		http:         &http.Client{Transport: transport, Timeout: callTimeout},
		balancer:     &balancer{entries: config.Entries},
		oracle:       config.Oracle,
		outputTokens: config.Scenario.Engines.OutputTokens,
		now:          time.Now,
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

// send sends a call once to an entry and reads the whole response.
func (c *client) send(ctx context.Context, arrival *Arrival, entry int) sendResult {
	if arrival.Class == ClassPurchase {
		return c.sendPurchase(ctx, arrival, entry)
	}
	return c.sendModel(ctx, arrival, entry)
}

func (c *client) sendModel(ctx context.Context, arrival *Arrival, entry int) sendResult {
	prompt := arrival.Prompt()
	begunBefore := c.oracle.Begun(prompt)
	body, err := json.Marshal(completionRequest{
		Model:     ModelName,
		Messages:  []message{{Role: "user", Content: prompt}},
		MaxTokens: c.outputTokens,
		Stream:    true,
	})
	if err != nil {
		return sendResult{outcome: OutcomeFailed}
	}
	response, err := c.post(ctx, arrival, c.balancer.url(entry, completionPath), body)
	if err != nil {
		return sendResult{outcome: OutcomeFailed}
	}
	defer response.Body.Close()
	var result sendResult
	if response.StatusCode == http.StatusOK {
		result = c.readStream(response, prompt)
	} else {
		result = refusalResult(problem.Read(response))
	}
	result.falseNotRun = result.outcome == OutcomeNotRun && c.oracle.Begun(prompt) > begunBefore
	return result
}

func (c *client) sendPurchase(ctx context.Context, arrival *Arrival, entry int) sendResult {
	body := arrival.Body()
	runsBefore := c.oracle.Runs(arrival.ID)
	response, err := c.post(ctx, arrival, c.balancer.url(entry, purchasePath), body)
	if err != nil {
		return sendResult{outcome: OutcomeFailed}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		result := refusalResult(problem.Read(response))
		// The runs of overlapping sends of one key cannot be told apart.
		singleSend := !arrival.Resend || !arrival.Overlap
		result.falseNotRun = singleSend && result.outcome == OutcomeNotRun && c.oracle.Runs(arrival.ID) > runsBefore
		return result
	}
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, maxPlainBodyBytes))
	if err != nil {
		return sendResult{outcome: OutcomeFailed}
	}
	if !bytes.Equal(bytes.TrimSpace(responseBody), c.oracle.PlainBody(PurchaseName, body)) {
		return sendResult{outcome: OutcomeFailed, wrong: true}
	}
	return sendResult{outcome: OutcomeAnswered}
}

func (c *client) post(ctx context.Context, arrival *Arrival, url string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", contentTypeJSON)
	bearer.SetToken(request, arrival.Organisation.Token)
	request.Header.Set(CallIDHeader, arrival.ID)
	if arrival.Class == ClassPurchase {
		request.Header.Set(IdempotencyKeyHeader, arrival.ID)
	} else {
		request.Header.Set("Accept", contentTypeEventStream)
		request.Header.Set(KindHeader, Kind(arrival.Rank))
	}
	// Without GetBody the transport never resends the body on its own.
	request.GetBody = nil
	return c.http.Do(request)
}

// refusalResult returns the result of a refusal. A refusal that does not say
// whether the call ran is a failure.
func refusalResult(p *problem.Problem) sendResult {
	result := sendResult{outcome: OutcomeFailed, code: p.Code, retryAfter: time.Duration(p.RetryAfterMS) * time.Millisecond}
	switch p.Execution {
	case problem.ExecutionNotStarted:
		result.outcome = OutcomeNotRun
	case problem.ExecutionUnknown:
		result.outcome = OutcomeUnknown
	}
	return result
}
