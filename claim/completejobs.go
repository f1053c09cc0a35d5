package claim

import "github.com/snipestep/snipestep/core"

// completeJobs completes the jobs of an entry that is in the log.
func (o *Owner) completeJobs(d *draft) {
	for _, key := range d.restoredKeys {
		delete(o.lostClaims, key)
	}
	for i, j := range d.jobs {
		if j == nil {
			continue
		}
		if j.outcome != nil {
			j.complete(jobResult{})
			continue
		}
		o.completeClaim(j, d.effective[i])
	}
}

// completeClaim grants a claim whose record took the key. A grant whose caller
// no longer waits is never run, so it is to be voided.
func (o *Owner) completeClaim(j *job, effective bool) {
	if !effective {
		j.complete(jobResult{verdict: Verdict{Kind: Held}})
		return
	}
	if !j.complete(jobResult{verdict: Verdict{Kind: Granted}}) {
		o.pendingVoids[j.claimID] = j.key
	}
}

// recordUncertainBatch keeps the claims of a draft that may still reach the log.
func (o *Owner) recordUncertainBatch(d *draft) {
	keyByClaimID := make(map[string]core.Digest)
	for _, j := range d.jobs {
		if j != nil && j.request != nil {
			keyByClaimID[j.claimID] = j.key
		}
	}
	o.uncertainBatches[d.batch.GetId()] = uncertainBatch{failedAt: o.config.BootNow(), keyByClaimID: keyByClaimID}
}
