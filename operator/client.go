package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/intent"
	"github.com/snipestep/snipestep/internal/bearer"
	"github.com/snipestep/snipestep/internal/connguard"
	"github.com/snipestep/snipestep/internal/httpcall"
	"github.com/snipestep/snipestep/problem"
)

const (
	maxResponseBytes = 16 << 20
	// maxHeadTime limits the start of a stream if ctx has no deadline.
	maxHeadTime = 30 * time.Second
)

// Client calls the operator API. Methods block until a server responds or ctx
// ends. Errors are *problem.Error and *UnreachableError, and those that a method
// names.
type Client struct {
	servers    []string
	token      string
	httpClient *http.Client
}

// NewClient returns a client that tries the servers in turn. servers are base
// URLs such as "http://10.0.0.1:8080". client is by default one that limits
// the head of a response.
func NewClient(servers []string, token string, client *http.Client) *Client {
	if client == nil {
		client = defaultClient
	}
	checked := *client
	checked.Transport = connguard.NewTransport(client.Transport)
	return &Client{servers: servers, token: token, httpClient: &checked}
}

// Propose requests a plan for an intent. Nothing changes until the plan is
// confirmed.
func (c *Client) Propose(ctx context.Context, in intent.Intent) (*intent.Plan, error) {
	plan := new(intent.Plan)
	err := c.call(ctx, http.MethodPost, "/v1/intents", in, plan)
	return plan, err
}

// Plan returns a plan.
func (c *Client) Plan(ctx context.Context, id string) (*intent.Plan, error) {
	plan := new(intent.Plan)
	err := c.call(ctx, http.MethodGet, planPath(id), nil, plan)
	return plan, err
}

// Diff returns the configuration changes of a plan.
func (c *Client) Diff(ctx context.Context, id string) (PlanDiff, error) {
	var diff PlanDiff
	err := c.call(ctx, http.MethodGet, planPath(id)+"/diff", nil, &diff)
	return diff, err
}

// Confirm applies a plan and returns the generation that it creates. It returns
// *UnknownOutcomeError if the plan may have been applied without a response.
func (c *Client) Confirm(ctx context.Context, id string) (core.Generation, error) {
	var confirmation Confirmation
	err := c.call(ctx, http.MethodPost, planPath(id)+"/confirm", nil, &confirmation)
	return confirmation.Generation, confirmError(err)
}

// Status returns the state of the fleet.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	err := c.call(ctx, http.MethodGet, "/v1/status", nil, &status)
	return status, err
}

// Watch calls receive with each status until ctx ends, receive fails or the
// server ends the stream. Only the start of the stream is limited in time.
func (c *Client) Watch(ctx context.Context, receive func(Status) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var events io.ReadCloser
	err := c.tryServers(ctx, func(ctx context.Context, server string, timeout time.Duration) error {
		opened, err := c.openWatch(ctx, server, timeout)
		events = opened
		return err
	})
	if err != nil {
		return err
	}
	defer events.Close()
	return readEvents(events, receive)
}

// openWatch opens the stream at one server, within timeout. The stream ends with
// ctx.
func (c *Client) openWatch(ctx context.Context, server string, timeout time.Duration) (io.ReadCloser, error) {
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(timeout, cancel)
	response, err := c.sendTo(ctx, server, http.MethodGet, "/v1/watch", nil)
	if err == nil && response.StatusCode != http.StatusOK {
		err = &problem.Error{Problem: *problem.Read(response)}
		_ = response.Body.Close()
	}
	if !timer.Stop() {
		err = context.DeadlineExceeded
	}
	if err != nil {
		cancel()
		return nil, err
	}
	return response.Body, nil
}

func planPath(id string) string {
	return "/v1/plans/" + url.PathEscape(id)
}

// call sends a request to the servers in turn until one gives a complete response.
// Every request is safe to repeat.
func (c *Client) call(ctx context.Context, method, path string, body, result any) error {
	var data []byte
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return eris.Wrap(err, "encode request")
		}
		data = encoded
	}
	return c.tryServers(ctx, func(ctx context.Context, server string, timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		response, err := c.sendTo(ctx, server, method, path, data)
		if err != nil {
			return err
		}
		defer response.Body.Close()
		return readResult(response, result)
	})
}

func readResult(response *http.Response, result any) error {
	if response.StatusCode >= http.StatusMultipleChoices {
		return &problem.Error{Problem: *problem.Read(response)}
	}
	// Whatever follows the document makes it no response.
	body, err := io.ReadAll(httpcall.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return eris.Wrap(err, "read response")
	}
	return eris.Wrap(json.Unmarshal(body, result), "decode response")
}

// tryServers calls try for the servers in turn until one responds. Each server may
// take an equal part of the time that is left.
func (c *Client) tryServers(ctx context.Context, try func(ctx context.Context, server string, timeout time.Duration) error) error {
	unreachable := &UnreachableError{Servers: c.servers, Cause: ErrNoServer}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { unreachable.MaybeSent = true },
	})
	for i, server := range c.servers {
		err := try(ctx, server, timeLeft(ctx)/time.Duration(len(c.servers)-i))
		var refusal *problem.Error
		if err == nil || errors.As(err, &refusal) {
			return err
		}
		unreachable.Cause = err
		if ctx.Err() != nil {
			break
		}
	}
	return unreachable
}

// timeLeft returns the time until the deadline of ctx, or maxHeadTime if it has
// none.
func timeLeft(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return time.Until(deadline)
	}
	return maxHeadTime
}

// ErrNoServer reports that the client has no servers.
var ErrNoServer = eris.New("no server is configured")

func (c *Client) sendTo(ctx context.Context, server, method, path string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(server, "/")+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "create request")
	}
	bearer.SetToken(request, c.token)
	if len(body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		return nil, err
	}
	if err := httpcall.RefuseSwitch(response); err != nil {
		return nil, err
	}
	return response, nil
}
