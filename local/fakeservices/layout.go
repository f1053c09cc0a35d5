package fakeservices

import (
	"fmt"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/local/load"
)

// The ports of the fake services and of each instance, the host numbers, which are
// the last byte of an address, and the number of regions.
const (
	keyValuePort      = 9000
	listPort          = 9001
	storePort         = 9002
	originPort        = 9003
	sessionPort       = 7400
	datagramPort      = 7401
	chunkPort         = 7402
	httpPort          = 8080
	endpointPort      = 8000
	metricsPort       = 9400
	platformHost      = 1
	firstInstanceHost = 2
	regionCount       = 2
)

// localInstance is one instance of the layout.
type localInstance struct {
	core.Instance
	network int // Second byte of the address.
	host    int // Last byte of the address.
}

// addr returns the address of a port of the instance.
func (l localInstance) addr(port int) string {
	return hostAddr(l.network, l.host, port)
}

func hostAddr(network, host, port int) string {
	return fmt.Sprintf("127.%d.0.%d:%d", network, host, port)
}

// layout returns the instances, entries first.
func layout(options Options) []localInstance {
	var instances []localInstance
	addInstances := func(role core.InstanceRole, count int) {
		for i := range count {
			instances = append(instances, newLocalInstance(options.Network, role, i, firstInstanceHost+len(instances)))
		}
	}
	addInstances(core.RoleEntry, options.Entries)
	addInstances(core.RoleModel, options.Models)
	addInstances(core.RolePlain, options.Plains)
	return instances
}

func newLocalInstance(network int, role core.InstanceRole, index, host int) localInstance {
	region := fmt.Sprintf("region-%d", index%regionCount+1)
	instance := localInstance{network: network, host: host}
	instance.Instance = core.Instance{
		ID:           core.InstanceID(fmt.Sprintf("%s-%d", role, index+1)),
		Role:         role,
		State:        core.StateLive,
		Location:     core.Location{Region: region, FailureDomain: region + "-a"},
		SessionAddr:  instance.addr(sessionPort),
		DatagramAddr: instance.addr(datagramPort),
	}
	switch role {
	case core.RoleModel:
		instance.ChunkAddr = instance.addr(chunkPort)
	case core.RolePlain:
		instance.Service = load.ServiceName
	}
	return instance
}
