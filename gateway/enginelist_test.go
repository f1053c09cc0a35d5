package gateway_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/directory"
)

// Guards against agents that must read the endpoint list from the store, over the links between
// regions, to know the other engines.
func TestAgentLearnsEnginesFromAnEntry(t *testing.T) {
	p, start := newPair(t)
	var others []*directory.Endpoint
	for i := range 150 {
		others = append(others, &directory.Endpoint{
			ID: fmt.Sprintf("i-%06d", i), Service: pairService, Address: fmt.Sprintf("127.0.3.%d:80", i), FailureDomain: "d", Region: "r", Slots: 4, LoadedVersion: 1,
		})
	}
	p.entryDirectory.PutEndpoints(others)
	start()
	known := func(id string) *directory.Endpoint { return p.agentDirectory.View().Endpoints[id] }
	assert.Assert(t, eventually(func() bool { return len(p.agentDirectory.View().Endpoints) == len(others)+1 }))
	assert.DeepEqual(t, known("i-000042"), others[42])

	p.entryDirectory.DropEndpoint(time.Now(), "i-000007")
	changed := *others[8]
	changed.LoadedVersion = 2
	p.entryDirectory.PutEndpoint(&changed)
	assert.Assert(t, eventually(func() bool { return known("i-000007") == nil && known("i-000008").LoadedVersion == 2 }))
}
