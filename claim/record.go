package claim

import (
	"time"

	"github.com/snipestep/snipestep/claim/claimpb"
	"github.com/snipestep/snipestep/core"
)

func keyDigest(key string) core.Digest {
	return core.SumDigest([]byte(key))
}

func claimedRecord(key core.Digest, claimID string, requestDigest core.Digest, claimedAt time.Time) *claimpb.Record {
	return &claimpb.Record{
		Key:   key[:],
		Claim: claimID,
		Change: &claimpb.Record_Claimed{Claimed: &claimpb.Claimed{
			RequestDigest: requestDigest[:],
			AtUnixMs:      claimedAt.UnixMilli(),
		}},
	}
}

func voidedRecord(key core.Digest, claimID string) *claimpb.Record {
	return &claimpb.Record{
		Key:    key[:],
		Claim:  claimID,
		Change: &claimpb.Record_Voided{Voided: &claimpb.Voided{}},
	}
}

func endedRecord(key core.Digest, claimID string, ended *claimpb.Ended) *claimpb.Record {
	return &claimpb.Record{
		Key:    key[:],
		Claim:  claimID,
		Change: &claimpb.Record_Ended{Ended: ended},
	}
}

// outcomeRecord returns the record of an outcome. It omits a body longer than
// MaxBodySize.
func outcomeRecord(o Outcome) *claimpb.Record {
	key := keyDigest(o.Key)
	if o.NotRun {
		return voidedRecord(key, o.ClaimID)
	}
	ended := &claimpb.Ended{Status: uint32(o.Status), Body: o.Body}
	if len(o.Body) > MaxBodySize {
		ended.Body = nil
		ended.BodyOmitted = true
	}
	return endedRecord(key, o.ClaimID, ended)
}
