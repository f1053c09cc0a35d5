package claim

import "github.com/snipestep/snipestep/claim/claimpb"

// applyEntry applies an entry to the state. d is the draft being written, if
// any.
func (o *Owner) applyEntry(entry logEntry, d *draft) {
	batchID := entry.batch.GetId()
	effective := o.applyRecords(entry.batch.GetRecords())
	o.nextSequence = entry.sequence + 1
	o.appliedEntries = append(o.appliedEntries, appliedEntry{
		sequence:  entry.sequence,
		version:   entry.version,
		batchID:   batchID,
		draftedAt: entry.draftedAt(),
		appliedAt: o.config.BootNow(),
	})
	if d != nil && d.batch.GetId() == batchID {
		d.committed = true
		d.effective = effective
	}
	if uncertain, ok := o.uncertainBatches[batchID]; ok {
		delete(o.uncertainBatches, batchID)
		for claimID, key := range uncertain.keyByClaimID {
			o.pendingVoids[claimID] = key
		}
	}
}

func (o *Owner) applyRecords(records []*claimpb.Record) []bool {
	effective := make([]bool, len(records))
	for i, r := range records {
		effective[i] = o.state.apply(r)
	}
	return effective
}
