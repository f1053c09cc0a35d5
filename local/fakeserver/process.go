package fakeserver

import (
	"context"
	"fmt"
	"path/filepath"

	"github.com/snipestep/snipestep/core"
)

// Process is one entry or agent to be started.
type Process struct {
	Instance core.Instance
	// HTTPAddr serves callers and operators, empty for agents.
	HTTPAddr string
	// MetricsAddr serves metrics and readiness.
	MetricsAddr string
	// EndpointURL is the stand-in beside an agent.
	EndpointURL string
	// Settings is the path of the settings file.
	Settings string
}

// The three failure domains of the fleet, one in each region.
var regions = []string{"dar", "arusha", "mwanza"}

// newProcess returns a process with free addresses.
func newProcess(ctx context.Context, free *ports, dir string, role core.InstanceRole, number int) (Process, error) {
	region := regions[number%len(regions)]
	id := fmt.Sprintf("%s-%d", role, number+1)
	p := Process{
		Instance: core.Instance{
			ID:       core.InstanceID(id),
			Role:     role,
			State:    core.StateLive,
			Location: core.Location{Region: region, FailureDomain: region + "-1"},
		},
		Settings: filepath.Join(dir, fileName(role, number)),
	}
	addresses := []*string{&p.Instance.SessionAddr, &p.Instance.DatagramAddr, &p.MetricsAddr}
	switch role {
	case core.RoleEntry:
		addresses = append(addresses, &p.HTTPAddr)
	case core.RoleModel:
		addresses = append(addresses, &p.Instance.ChunkAddr)
	case core.RolePlain:
		p.Instance.Service = Service
	}
	for _, address := range addresses {
		next, err := free.next(ctx)
		if err != nil {
			return p, err
		}
		*address = next
	}
	return p, nil
}

func fileName(role core.InstanceRole, number int) string {
	program := "agent-" + string(role)
	if role == core.RoleEntry {
		program = "entry"
	}
	return fmt.Sprintf("%s-%d.ini", program, number+1)
}
