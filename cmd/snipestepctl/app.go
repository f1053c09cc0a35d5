package main

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/intent"
	"github.com/snipestep/snipestep/operator"
)

// app holds what all commands share.
type app struct {
	ctx     context.Context
	client  *operator.Client
	out     io.Writer
	json    bool
	timeout time.Duration
}

func newApp(ctx context.Context, s Settings, out io.Writer) *app {
	return &app{
		ctx:     ctx,
		client:  operator.NewClient(s.Servers, s.Token, nil),
		out:     out,
		json:    s.Output == outputJSON,
		timeout: s.Timeout,
	}
}

func (a *app) requestContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(a.ctx, a.timeout)
}

func (a *app) propose(in intent.Intent) error {
	if err := in.Validate(); err != nil {
		return &UsageError{Detail: err.Error()}
	}
	ctx, cancel := a.requestContext()
	defer cancel()
	plan, err := a.client.Propose(ctx, in)
	if err != nil {
		return err
	}
	return a.printPlan(plan)
}

func (a *app) printPlan(plan *intent.Plan) error {
	if a.json {
		return a.printJSON(plan)
	}
	return operator.WritePlan(a.out, plan)
}

func (a *app) printStatus(status operator.Status) error {
	if a.json {
		return a.printJSON(status)
	}
	return operator.WriteStatus(a.out, status)
}

func (a *app) printJSON(value any) error {
	encoder := json.NewEncoder(a.out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return eris.Wrap(err, "print JSON")
	}
	return nil
}
