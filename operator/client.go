package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/intent"
	"github.com/snipestep/snipestep/internal/bearer"
	"github.com/snipestep/snipestep/problem"
)

const maxResponseBytes = 16 << 20

// UnreachableError reports that no server responded.
type UnreachableError struct {
	Servers []string
	Cause   error // Of the last server tried.
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("none of the servers %s responded: %v", strings.Join(e.Servers, ", "), e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error {
	return e.Cause
}

// Client calls the operator API. Methods block until a server responds or ctx
// ends. Errors are *problem.Error, *UnreachableError and decoding errors.
type Client struct {
	servers    []string
	token      string
	httpClient *http.Client
}

// NewClient returns a client that tries the servers in turn. servers are base
// URLs such as "http://10.0.0.1:8080". client is http.DefaultClient by
// default.
func NewClient(servers []string, token string, client *http.Client) *Client {
	if client == nil {
		client = http.DefaultClient
	}
	return &Client{servers: servers, token: token, httpClient: client}
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

// Confirm applies a plan and returns the generation that it creates.
func (c *Client) Confirm(ctx context.Context, id string) (core.Generation, error) {
	var confirmation Confirmation
	err := c.call(ctx, http.MethodPost, planPath(id)+"/confirm", nil, &confirmation)
	return confirmation.Generation, err
}

// Status returns the state of the fleet.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	err := c.call(ctx, http.MethodGet, "/v1/status", nil, &status)
	return status, err
}

// Watch calls receive with each status until ctx ends, receive fails or the
// server ends the stream.
func (c *Client) Watch(ctx context.Context, receive func(Status) error) error {
	response, err := c.send(ctx, http.MethodGet, "/v1/watch", nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return &problem.Error{Problem: *problem.Read(response)}
	}
	return readEvents(response.Body, receive)
}

func planPath(id string) string {
	return "/v1/plans/" + url.PathEscape(id)
}

func (c *Client) call(ctx context.Context, method, path string, body, result any) error {
	var data []byte
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return eris.Wrap(err, "encode request")
		}
		data = encoded
	}
	response, err := c.send(ctx, method, path, data)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return &problem.Error{Problem: *problem.Read(response)}
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(result); err != nil {
		return eris.Wrap(err, "decode response")
	}
	return nil
}

// send tries the servers in turn until one responds. Every request is safe to
// repeat.
func (c *Client) send(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	unreachable := &UnreachableError{Servers: c.servers, Cause: ErrNoServer}
	for _, server := range c.servers {
		response, err := c.sendTo(ctx, server, method, path, body)
		if err == nil {
			return response, nil
		}
		unreachable.Cause = err
		if ctx.Err() != nil {
			break
		}
	}
	return nil, unreachable
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
	return c.httpClient.Do(request)
}
