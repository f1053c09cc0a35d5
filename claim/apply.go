package claim

import "github.com/snipestep/snipestep/claim/claimpb"

// applyEntry changes the state by an entry. d is the draft being written, if
// any.
func (o *Owner) applyEntry(entry logEntry, d *draft) {
	id := entry.batch.GetId()
	effective := o.applyRecords(entry.batch.GetRecords())
	o.next = entry.sequence + 1
	o.known = append(o.known, knownEntry{
		sequence: entry.sequence,
		version:  entry.version,
		batch:    id,
		at:       entry.at(),
		seenAt:   o.config.Now(),
	})
	if d != nil && d.batch.GetId() == id {
		d.landed = true
		d.effective = effective
	}
	if lost, ok := o.unsettled[id]; ok {
		delete(o.unsettled, id)
		for claim, key := range lost.claims {
			o.voids[claim] = key
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
