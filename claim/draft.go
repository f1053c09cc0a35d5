package claim

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/snipestep/snipestep/claim/claimpb"
	"github.com/snipestep/snipestep/core"
)

const (
	maxBatchRecords = 1000
	maxBatchBytes   = 512 << 10
)

// draft is a log entry being built. jobs holds the job of each record, nil for
// the owner's own records.
type draft struct {
	batch     *claimpb.Batch
	jobs      []*job
	newClaims map[core.Digest]*activeClaim
	bytes     int
	// restoredKeys holds the keys of lost claims that the entry writes again.
	restoredKeys []core.Digest
	// committed reports that the entry is in the log. effective reports for each
	// of its records whether it had an effect.
	committed bool
	effective []bool
}

func newDraft(id string, now time.Time) *draft {
	return &draft{
		batch:     &claimpb.Batch{Id: id, AtUnixMs: now.UnixMilli()},
		newClaims: make(map[core.Digest]*activeClaim),
	}
}

func (d *draft) add(r *claimpb.Record, j *job) {
	d.batch.Records = append(d.batch.Records, r)
	d.jobs = append(d.jobs, j)
	d.bytes += proto.Size(r)
}

func (d *draft) full() bool {
	return len(d.jobs) >= maxBatchRecords || d.bytes >= maxBatchBytes
}

func (d *draft) empty() bool {
	return len(d.jobs) == 0
}
