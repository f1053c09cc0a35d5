package entry

import (
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/routing"
)

// reservation is a credit taken at an endpoint for one attempt. It refers to the
// table from which it was taken: a newer load report starts new counts, which
// the release of an older credit must not change.
type reservation struct {
	routing.EndpointState
	table *routing.Table
	index int
	rank  core.Rank
	// waited is how long the call waited for the credit.
	waited    time.Duration
	onRelease func()
}

// release returns the credit once the attempt has ended, without waiting for the
// agent's next report to do so.
func (r *reservation) release() {
	r.table.Release(r.index, r.rank)
	r.onRelease()
}
