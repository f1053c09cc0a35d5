package claim

import "github.com/snipestep/snipestep/core"

// settle answers the jobs of an entry that is in the log.
func (o *Owner) settle(d *draft) {
	for _, key := range d.restored {
		delete(o.restore, key)
	}
	for i, j := range d.jobs {
		if j == nil {
			continue
		}
		if j.outcome != nil {
			j.answer(answer{})
			continue
		}
		o.settleClaim(j, d.effective[i])
	}
}

// settleClaim grants a claim whose record took the key. Nobody runs a grant
// that its caller did not wait for, so it is voided.
func (o *Owner) settleClaim(j *job, effective bool) {
	if !effective {
		j.answer(answer{verdict: Verdict{Kind: Held}})
		return
	}
	if !j.answer(answer{verdict: Verdict{Kind: Granted}}) {
		o.voids[j.claim] = j.key
	}
}

// keepUnsettled remembers the claims of a draft that may land later.
func (o *Owner) keepUnsettled(d *draft) {
	claims := make(map[string]core.Digest)
	for _, j := range d.jobs {
		if j != nil && j.request != nil {
			claims[j.claim] = j.key
		}
	}
	o.unsettled[d.batch.GetId()] = unsettledBatch{at: o.config.Now(), claims: claims}
}
