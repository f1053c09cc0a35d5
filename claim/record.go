package claim

import (
	"time"

	"github.com/snipestep/snipestep/claim/claimpb"
	"github.com/snipestep/snipestep/core"
)

func keyDigest(key string) core.Digest {
	return core.SumDigest([]byte(key))
}

func claimedRecord(key core.Digest, claim string, request core.Digest, at time.Time) *claimpb.Record {
	return &claimpb.Record{
		Key:   key[:],
		Claim: claim,
		Change: &claimpb.Record_Claimed{Claimed: &claimpb.Claimed{
			RequestDigest: request[:],
			AtUnixMs:      at.UnixMilli(),
		}},
	}
}

func voidedRecord(key core.Digest, claim string) *claimpb.Record {
	return &claimpb.Record{
		Key:    key[:],
		Claim:  claim,
		Change: &claimpb.Record_Voided{Voided: &claimpb.Voided{}},
	}
}

func endedRecord(key core.Digest, claim string, ended *claimpb.Ended) *claimpb.Record {
	return &claimpb.Record{
		Key:    key[:],
		Claim:  claim,
		Change: &claimpb.Record_Ended{Ended: ended},
	}
}

// outcomeRecord returns the record of an outcome.
func outcomeRecord(o Outcome) *claimpb.Record {
	key := keyDigest(o.Key)
	if o.NotRun {
		return voidedRecord(key, o.Claim)
	}
	ended := &claimpb.Ended{Status: uint32(o.Status), Body: o.Body}
	if len(o.Body) > MaxBodySize {
		ended.Body = nil
		ended.BodyOmitted = true
	}
	return endedRecord(key, o.Claim, ended)
}
