package directory

import "maps"

// Evacuation is the operator's order to send nothing more to the endpoints of a failure
// domain.
type Evacuation struct {
	// Era and Revision are those of the store's key as it was read last.
	Era, Revision uint64
}

// IsEvacuated reports whether nothing may be sent to the endpoints of a failure domain.
func (v *View) IsEvacuated(failureDomain string) bool {
	_, evacuated := v.Evacuated[failureDomain]
	return evacuated
}

// EndpointsIn returns the number of listed endpoints of a failure domain.
func (v *View) EndpointsIn(failureDomain string) int {
	count := 0
	for _, e := range v.Endpoints {
		if e.FailureDomain == failureDomain {
			count++
		}
	}
	return count
}

// SetEvacuated replaces the evacuated failure domains.
func (d *Directory) SetEvacuated(evacuated map[string]Evacuation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if maps.Equal(d.current.Load().Evacuated, evacuated) {
		return
	}
	d.update(func(v *View) { v.Evacuated = maps.Clone(evacuated) })
}
