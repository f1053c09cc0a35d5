package scenario

import "github.com/snipestep/snipestep/settings"

// check compares keys with one another.
func (s *Scenario) check(file *settings.File) error {
	f := s.Faults
	if f.KillAgents+f.PlannedStops > s.Fleet.ModelReplicas {
		return conflict(file, "faults", "kill_agents", "kill_agents and planned_stops together exceed model_replicas")
	}
	if f.StallLinks > s.Fleet.ModelReplicas {
		return conflict(file, "faults", "stall_links", "exceeds model_replicas")
	}
	if (f.StoreDownFrom == settings.UnsetDuration) != (f.StoreDownFor == settings.UnsetDuration) {
		return conflict(file, "faults", "store_down_from", "want both of store_down_from and store_down_for, or neither")
	}
	if s.Weights.SecondPushAt != settings.UnsetDuration && s.Weights.SecondPushAt < s.Weights.PushAt {
		return conflict(file, "weights", "second_push_at", "comes before push_at")
	}
	return nil
}

func conflict(file *settings.File, section, key, detail string) error {
	return file.ErrorAt(section, key, &settings.ConflictError{Detail: detail})
}
