package entry

import (
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/routing"
)

// reservation is a credit taken at an endpoint for one attempt. It holds on
// to the table it was taken from: a newer load report starts new counts, so
// that giving back an old credit changes nothing.
type reservation struct {
	routing.EndpointState
	table *routing.Table
	index int
	rank  core.Rank
	// waited is how long the call waited for the credit.
	waited time.Duration
	freed  func()
}

// release gives the credit back once the attempt has ended. The agent's next
// report would say the same, later.
func (r *reservation) release() {
	r.table.Release(r.index, r.rank)
	r.freed()
}
