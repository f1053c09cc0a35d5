package main

import (
	"context"
	"fmt"
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
	"github.com/snipestep/snipestep/intent"
	"github.com/snipestep/snipestep/operator"
)

// memoryService keeps a document, the view of an unchanging fleet and plans in
// memory.
type memoryService struct {
	document *fleet.Document
	view     intent.FleetView
	plans    map[string]*intent.Plan
}

func newMemoryService() *memoryService {
	s := &memoryService{plans: make(map[string]*intent.Plan)}
	s.document = &fleet.Document{
		Generation: 4,
		Ranks: []fleet.RankPolicy{
			{Rank: core.RankUrgent, GuaranteedShare: 0.4, PatienceMS: 500},
			{Rank: core.RankNormal, GuaranteedShare: 0.2, PatienceMS: 2000},
			{Rank: core.RankBackground, GuaranteedShare: 0.1, PatienceMS: 30000},
		},
		Placements: []fleet.Placement{{Model: modelRef("letters", "v1")}},
		Plan:       "p-0",
	}
	for i := range 11 {
		s.view.Agents = append(s.view.Agents, newAgentView(i, core.RoleModel))
	}
	for i := range 3 {
		s.view.Agents = append(s.view.Agents, newAgentView(i, core.RolePlain))
	}
	return s
}

func modelRef(model, version string) core.ModelRef {
	return core.ModelRef{Model: model, Version: version, Manifest: core.SumDigest([]byte(model + version))}
}

func newAgentView(i int, role core.InstanceRole) intent.AgentView {
	region := []string{"arusha", "dar", "mwanza"}[i%3]
	view := intent.AgentView{
		Instance: core.Instance{
			ID:       core.InstanceID(fmt.Sprintf("%s-%02d", role, i)),
			Role:     role,
			Location: core.Location{Region: region, FailureDomain: region + "-1"},
		},
		Slots:   8,
		Healthy: true,
	}
	if role == core.RoleModel {
		view.Serving = modelRef("letters", "v1")
		return view
	}
	view.Instance.Service = "counter"
	return view
}

func (s *memoryService) Propose(_ context.Context, in intent.Intent) (*intent.Plan, error) {
	if in.Place != nil {
		in.Place.Model = modelRef(in.Place.Model.Model, in.Place.Model.Version)
		in.Place.ModelBytes = 16_000_000
	}
	id := fmt.Sprintf("p-%d", len(s.plans)+1)
	plan, err := intent.MakePlan(s.document, s.view, in, time.Unix(1_700_000_000, 0), id)
	if err == nil {
		s.plans[id] = plan
	}
	return plan, err
}

func (s *memoryService) Plan(_ context.Context, id string) (*intent.Plan, error) {
	plan, ok := s.plans[id]
	if !ok {
		return nil, operator.ErrPlanNotFound
	}
	return plan, nil
}

func (s *memoryService) Confirm(ctx context.Context, id string) (core.Generation, error) {
	plan, err := s.Plan(ctx, id)
	if err != nil {
		return 0, err
	}
	confirmed, err := intent.Confirm(plan, s.document, s.view)
	if err != nil {
		return 0, err
	}
	confirmed.History = fleet.AppendHistory(confirmed.History, fleet.HistoryEntry{Generation: confirmed.Generation, Plan: id})
	s.document = confirmed
	return confirmed.Generation, nil
}

func (s *memoryService) Status(context.Context) (operator.Status, error) {
	status := operator.NewStatus(s.document, s.view)
	status.Entry = "entry-0"
	return status, nil
}

func (s *memoryService) Watch(ctx context.Context, send func(operator.Status) error) error {
	status, err := s.Status(ctx)
	if err != nil {
		return err
	}
	return send(status)
}
