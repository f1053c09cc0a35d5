package operator

import (
	"fmt"
	"strings"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
	"github.com/snipestep/snipestep/intent"
)

func describeState(a intent.AgentView) string {
	switch {
	case a.Leaving:
		return "leaving"
	case !a.Healthy:
		return "unhealthy"
	case a.Swapping:
		return "swapping"
	case a.Draining:
		return "drained"
	}
	return "in service"
}

func describeIntent(in intent.Intent) string {
	switch in.Kind() {
	case intent.KindPlace:
		return describePlacement(in.Place)
	case intent.KindRank:
		return describeRank(in.Rank)
	case intent.KindStop:
		return fmt.Sprintf("stop %s, %s", in.Stop.Selector, describeGrace(in.Stop.StreamGraceMS, in.Stop.Move))
	case intent.KindDrain:
		return fmt.Sprintf("drain %s, %s", in.Drain.Selector, describeGrace(in.Drain.StreamGraceMS, in.Drain.Move))
	case intent.KindResume:
		return fmt.Sprintf("resume %s", in.Resume.Selector)
	}
	return "none"
}

func describePlacement(p *intent.Place) string {
	replicas := "every endpoint"
	if p.Replicas > 0 {
		replicas = fmt.Sprintf("%d replicas", p.Replicas)
	}
	parts := []string{fmt.Sprintf("place %s at %s", describeModel(p.Model), replicas)}
	if p.Region != "" || p.FailureDomain != "" {
		parts = append(parts, "in "+describeLocation(p.Region, p.FailureDomain))
	}
	if len(p.Adapters) > 0 {
		parts = append(parts, "with adapters "+strings.Join(p.Adapters, ","))
	}
	if p.EngineRole != "" {
		parts = append(parts, "in role "+p.EngineRole)
	}
	return strings.Join(parts, " ")
}

func describeRank(r *intent.Rank) string {
	var parts []string
	for _, rule := range r.Rules {
		parts = append(parts, describeRule(rule))
	}
	for _, p := range r.Policies {
		parts = append(parts, fmt.Sprintf("%s keeps %.0f%%, patience %d ms", p.Rank, p.GuaranteedShare*100, p.PatienceMS))
	}
	return "rank " + strings.Join(parts, "; ")
}

func describeRule(rule fleet.RankRule) string {
	organisation, kind := "every organisation", "every kind"
	if rule.Organisation != "" {
		organisation = string(rule.Organisation)
	}
	if rule.Kind != "" {
		kind = rule.Kind
	}
	return fmt.Sprintf("%s, %s is %s", organisation, kind, rule.Rank)
}

func describeGrace(graceMS int64, move bool) string {
	if move {
		return fmt.Sprintf("streams move after %s", formatMilliseconds(graceMS))
	}
	return fmt.Sprintf("streams may run %s", formatMilliseconds(graceMS))
}

func describeSteps(steps []intent.Step) string {
	var parts []string
	for _, s := range steps {
		text := string(s.Kind)
		if !s.Model.IsZero() {
			text += " " + describeModel(s.Model)
		}
		if len(steps) > 1 {
			text += fmt.Sprintf(" at %d", s.Count)
		}
		parts = append(parts, text)
	}
	return strings.Join(parts, ", ")
}

func describeModel(m core.ModelRef) string {
	if m.IsZero() {
		return "none"
	}
	return m.Model + ":" + m.Version
}

func describeLocation(region, domain string) string {
	switch {
	case region == "" && domain == "":
		return "anywhere"
	case domain == "":
		return region
	case region == "":
		return domain
	}
	return region + "/" + domain
}
