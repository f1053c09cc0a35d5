package standins

import (
	"fmt"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/local/load"
)

// The ports of the stand-ins and of each instance.
const (
	keyValuePort  = 9000
	listPort      = 9001
	storePort     = 9002
	originPort    = 9003
	sessionPort   = 7400
	datagramPort  = 7401
	chunkPort     = 7402
	httpPort      = 8080
	endpointPort  = 8000
	metricsPort   = 9400
	platformHost  = 1
	firstInstance = 2
	regionCount   = 2
)

// member is one instance of the layout.
type member struct {
	core.Instance
	network int
	host    int
}

// addr returns an address of the member.
func (m member) addr(port int) string {
	return hostAddr(m.network, m.host, port)
}

func hostAddr(network, host, port int) string {
	return fmt.Sprintf("127.%d.0.%d:%d", network, host, port)
}

// layout lists the instances, entries first.
func layout(o Options) []member {
	var members []member
	add := func(role core.InstanceRole, count int) {
		for i := range count {
			members = append(members, newMember(o.Network, role, i, firstInstance+len(members)))
		}
	}
	add(core.RoleEntry, o.Entries)
	add(core.RoleModel, o.Models)
	add(core.RolePlain, o.Plains)
	return members
}

func newMember(network int, role core.InstanceRole, number, host int) member {
	region := fmt.Sprintf("region-%d", number%regionCount+1)
	made := member{network: network, host: host}
	made.Instance = core.Instance{
		ID:           core.InstanceID(fmt.Sprintf("%s-%d", role, number+1)),
		Role:         role,
		State:        core.StateLive,
		Location:     core.Location{Region: region, FailureDomain: region + "-a"},
		SessionAddr:  made.addr(sessionPort),
		DatagramAddr: made.addr(datagramPort),
	}
	switch role {
	case core.RoleModel:
		made.ChunkAddr = made.addr(chunkPort)
	case core.RolePlain:
		made.Service = load.ServiceName
	}
	return made
}
