package claim

import "time"

// draft answers the jobs that need no write and drafts an entry for the rest.
func (o *Owner) draft(jobs []*job) (*draft, []*job) {
	now := o.config.Now()
	o.state.sweep(now)
	d := newDraft(o.config.NewID(), now)
	o.draftOwn(d)
	for i, j := range jobs {
		if d.full() {
			return d, jobs[i:]
		}
		if j.state.Load() == jobWaiting {
			o.draftJob(d, j, now)
		}
	}
	return d, nil
}

func (o *Owner) draftJob(d *draft, j *job, now time.Time) {
	if j.outcome != nil {
		if o.state.open(j.key, j.claim) {
			d.add(j.outcome, j)
			return
		}
		j.answer(answer{})
		return
	}
	held := o.state.lookup(j.key, now)
	if held == nil {
		held = d.taken[j.key]
	}
	switch {
	case held != nil:
		j.answer(answer{verdict: held.verdict(j.request.RequestDigest)})
	case len(o.state.keys)+len(d.taken) >= o.config.MaxKeys:
		o.refuse([]*job{j}, time.Second)
	default:
		d.taken[j.key] = &heldKey{claim: j.claim, request: j.request.RequestDigest, at: now}
		d.add(claimedRecord(j.key, j.claim, j.request.RequestDigest, now), j)
	}
}

func (o *Owner) hasOwnRecords() bool {
	return len(o.voids)+len(o.restore) > 0
}

// draftOwn adds the claims to be restored and voided.
func (o *Owner) draftOwn(d *draft) {
	for key, held := range o.restore {
		if d.full() {
			return
		}
		d.restored = append(d.restored, key)
		d.add(claimedRecord(key, held.claim, held.request, held.at), nil)
		if held.ended != nil {
			d.add(endedRecord(key, held.claim, held.ended), nil)
		}
	}
	for claim, key := range o.voids {
		if d.full() {
			return
		}
		if o.state.open(key, claim) {
			d.add(voidedRecord(key, claim), nil)
		} else {
			delete(o.voids, claim)
		}
	}
}
