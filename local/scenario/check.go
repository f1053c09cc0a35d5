package scenario

import "github.com/snipestep/snipestep/settings"

// checkConflicts checks keys whose valid values depend on other keys.
func (s *Scenario) checkConflicts(file *settings.File) error {
	faults := s.Faults
	if faults.KillAgents+faults.PlannedStops > s.Fleet.ModelReplicas {
		return conflictAt(file, "faults", "kill_agents", "kill_agents and planned_stops together exceed model_replicas")
	}
	if faults.StallLinks > s.Fleet.ModelReplicas {
		return conflictAt(file, "faults", "stall_links", "exceeds model_replicas")
	}
	if (faults.StoreDownFrom == settings.UnsetDuration) != (faults.StoreDownFor == settings.UnsetDuration) {
		return conflictAt(file, "faults", "store_down_from", "want both of store_down_from and store_down_for, or neither")
	}
	if s.Weights.SecondPushAt != settings.UnsetDuration && s.Weights.SecondPushAt < s.Weights.PushAt {
		return conflictAt(file, "weights", "second_push_at", "comes before push_at")
	}
	return nil
}

func conflictAt(file *settings.File, section, key, detail string) error {
	return file.ErrorAt(section, key, &settings.ConflictError{Detail: detail})
}
