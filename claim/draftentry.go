package claim

import "time"

// draftEntry completes the jobs that need no write and drafts an entry for the
// rest. It returns the jobs that the entry has no room for.
func (o *Owner) draftEntry(jobs []*job) (*draft, []*job) {
	now := o.config.Now()
	o.state.dropExpired(now)
	d := newDraft(o.config.NewID(), now)
	o.addOwnRecords(d)
	for i, j := range jobs {
		if d.full() {
			return d, jobs[i:]
		}
		if j.state.Load() == jobPending {
			o.addJob(d, j, now)
		}
	}
	return d, nil
}

func (o *Owner) addJob(d *draft, j *job, now time.Time) {
	if j.outcome != nil {
		if o.state.awaitsOutcome(j.key, j.claimID) {
			d.add(j.outcome, j)
			return
		}
		j.complete(jobResult{})
		return
	}
	holder := o.state.lookup(j.key, now)
	if holder == nil {
		holder = d.newClaims[j.key]
	}
	switch {
	case holder != nil:
		j.complete(jobResult{verdict: holder.verdict(j.request.RequestDigest)})
	case len(o.state.claims)+len(d.newClaims) >= o.config.MaxKeys:
		o.refuse([]*job{j}, time.Second)
	default:
		d.newClaims[j.key] = &activeClaim{id: j.claimID, requestDigest: j.request.RequestDigest, claimedAt: now}
		d.add(claimedRecord(j.key, j.claimID, j.request.RequestDigest, now), j)
	}
}

func (o *Owner) hasOwnRecords() bool {
	return len(o.pendingVoids)+len(o.lostClaims) > 0
}

// addOwnRecords adds the records of claims to be restored or voided.
func (o *Owner) addOwnRecords(d *draft) {
	for key, lost := range o.lostClaims {
		if d.full() {
			return
		}
		d.restoredKeys = append(d.restoredKeys, key)
		d.add(claimedRecord(key, lost.id, lost.requestDigest, lost.claimedAt), nil)
		if lost.outcome != nil {
			d.add(endedRecord(key, lost.id, lost.outcome), nil)
		}
	}
	for claimID, key := range o.pendingVoids {
		if d.full() {
			return
		}
		if o.state.awaitsOutcome(key, claimID) {
			d.add(voidedRecord(key, claimID), nil)
		} else {
			delete(o.pendingVoids, claimID)
		}
	}
}
