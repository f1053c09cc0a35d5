package main

import (
	"encoding/json"
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
	"github.com/snipestep/snipestep/intent"
	"github.com/snipestep/snipestep/operator"
)

type placeCommand struct {
	Model         string   `arg:"" help:"Name of the model."`
	Version       string   `arg:"" help:"Version of the model."`
	Manifest      string   `help:"Digest of the manifest; the entry looks it up by default." placeholder:"HEX"`
	Adapter       []string `help:"Adapter to load, may be repeated." placeholder:"NAME"`
	EngineRole    string   `help:"Role of the engine, e.g. mixed." placeholder:"ROLE"`
	Region        string   `help:"Only in this region." placeholder:"NAME"`
	FailureDomain string   `help:"Only in this failure domain." placeholder:"NAME"`
	Replicas      int      `help:"Number of endpoints, 0 for every matching one." default:"0"`
}

// Run proposes the intent.
func (c *placeCommand) Run(a *app) error {
	model := core.ModelRef{Model: c.Model, Version: c.Version}
	if c.Manifest != "" {
		digest, err := core.ParseDigest(c.Manifest)
		if err != nil {
			return &UsageError{Detail: "--manifest: " + err.Error()}
		}
		model.Manifest = digest
	}
	return a.propose(intent.Intent{Place: &intent.Place{
		Model:         model,
		Adapters:      c.Adapter,
		EngineRole:    c.EngineRole,
		Region:        c.Region,
		FailureDomain: c.FailureDomain,
		Replicas:      c.Replicas,
	}})
}

type rankCommand struct {
	Rank            string        `arg:"" enum:"urgent,normal,background" help:"Rank: urgent, normal or background."`
	Organisation    string        `help:"Give the rank to calls of this organisation." placeholder:"ID"`
	Kind            string        `help:"Give the rank to calls of this kind." placeholder:"KIND"`
	GuaranteedShare *float64      `help:"Part of each endpoint's slots kept for the rank, 0 to 1." placeholder:"SHARE"`
	Patience        time.Duration `help:"How long a call of the rank may wait; set together with --guaranteed-share." default:"2s"`
}

// Run proposes the intent.
func (c *rankCommand) Run(a *app) error {
	rank, err := core.ParseRank(c.Rank)
	if err != nil {
		return &UsageError{Detail: err.Error()}
	}
	rankIntent := &intent.Rank{}
	if c.Organisation != "" || c.Kind != "" {
		rankIntent.Rules = []fleet.RankRule{{
			Organisation: core.OrganisationID(c.Organisation),
			Kind:         c.Kind,
			Rank:         rank,
		}}
	}
	if c.GuaranteedShare != nil {
		rankIntent.Policies = []fleet.RankPolicy{{
			Rank:            rank,
			GuaranteedShare: *c.GuaranteedShare,
			PatienceMS:      c.Patience.Milliseconds(),
		}}
	}
	if len(rankIntent.Rules) == 0 && len(rankIntent.Policies) == 0 {
		return &UsageError{Detail: "give --organisation, --kind or --guaranteed-share"}
	}
	return a.propose(intent.Intent{Rank: rankIntent})
}

type selectorFlags struct {
	Region        string `help:"Only in this region." placeholder:"NAME"`
	FailureDomain string `help:"Only in this failure domain." placeholder:"NAME"`
	Rack          string `help:"Only in this rack." placeholder:"NAME"`
	Role          string `help:"Only endpoints of this role: model or plain." placeholder:"ROLE"`
	Count         int    `help:"Number of endpoints, spread over failure domains; 0 for all." default:"0"`
	All           bool   `help:"Select every endpoint."`
}

func (f selectorFlags) selector() (intent.Selector, error) {
	selector := intent.Selector{
		Region:        f.Region,
		FailureDomain: f.FailureDomain,
		Rack:          f.Rack,
		Role:          core.InstanceRole(f.Role),
		Count:         f.Count,
	}
	if selector == (intent.Selector{}) && !f.All {
		return selector, &UsageError{Detail: "select endpoints, or give --all"}
	}
	return selector, nil
}

type graceFlags struct {
	StreamGrace time.Duration `help:"How long running streams may go on." default:"30s"`
	Move        bool          `help:"Move streams that still run then to other endpoints."`
	AcceptLess  bool          `help:"Accept that less than the guaranteed capacity is left."`
}

type stopCommand struct {
	selectorFlags
	graceFlags
}

// Run proposes the intent.
func (c *stopCommand) Run(a *app) error {
	selector, err := c.selector()
	if err != nil {
		return err
	}
	return a.propose(intent.Intent{Stop: &intent.Stop{
		Selector:      selector,
		StreamGraceMS: c.StreamGrace.Milliseconds(),
		Move:          c.Move,
		AcceptLess:    c.AcceptLess,
	}})
}

type drainCommand struct {
	selectorFlags
	graceFlags
}

// Run proposes the intent.
func (c *drainCommand) Run(a *app) error {
	selector, err := c.selector()
	if err != nil {
		return err
	}
	return a.propose(intent.Intent{Drain: &intent.Drain{
		Selector:      selector,
		StreamGraceMS: c.StreamGrace.Milliseconds(),
		Move:          c.Move,
		AcceptLess:    c.AcceptLess,
	}})
}

type resumeCommand struct {
	selectorFlags
}

// Run proposes the intent.
func (c *resumeCommand) Run(a *app) error {
	selector, err := c.selector()
	if err != nil {
		return err
	}
	return a.propose(intent.Intent{Resume: &intent.Resume{Selector: selector}})
}

type showCommand struct {
	Plan string `arg:"" help:"Identifier of the plan."`
}

// Run prints the plan.
func (c *showCommand) Run(a *app) error {
	ctx, cancel := a.requestContext()
	defer cancel()
	plan, err := a.client.Plan(ctx, c.Plan)
	if err != nil {
		return err
	}
	return a.printPlan(plan)
}

type diffCommand struct {
	Plan string `arg:"" help:"Identifier of the plan."`
}

// Run prints the plan's changes.
func (c *diffCommand) Run(a *app) error {
	ctx, cancel := a.requestContext()
	defer cancel()
	diff, err := a.client.Diff(ctx, c.Plan)
	if err != nil {
		return err
	}
	if a.json {
		return a.printJSON(diff)
	}
	return operator.WriteDiff(a.out, diff)
}

type confirmCommand struct {
	Plan string `arg:"" help:"Identifier of the plan."`
}

// Run confirms the plan.
func (c *confirmCommand) Run(a *app) error {
	ctx, cancel := a.requestContext()
	defer cancel()
	generation, err := a.client.Confirm(ctx, c.Plan)
	if err != nil {
		return err
	}
	confirmation := operator.Confirmation{Plan: c.Plan, Generation: generation}
	if a.json {
		return a.printJSON(confirmation)
	}
	return operator.WriteConfirmation(a.out, confirmation)
}

type statusCommand struct{}

// Run prints the status once.
func (c *statusCommand) Run(a *app) error {
	ctx, cancel := a.requestContext()
	defer cancel()
	status, err := a.client.Status(ctx)
	if err != nil {
		return err
	}
	return a.printStatus(status)
}

type watchCommand struct{}

// Run prints the status after each change, until interrupted. JSON output has one
// line for each status.
func (c *watchCommand) Run(a *app) error {
	return a.client.Watch(a.ctx, func(s operator.Status) error {
		if a.json {
			return json.NewEncoder(a.out).Encode(s)
		}
		return a.printStatus(s)
	})
}
