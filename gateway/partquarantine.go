package gateway

import (
	"slices"
	"time"

	"github.com/snipestep/snipestep/loadreport"
	"github.com/snipestep/snipestep/routing"
	"github.com/snipestep/snipestep/strikes"
)

const (
	// partQuarantineStrikes is the number of strikes that quarantine a part of prompts.
	// Requests with it share callers and other parts with sound ones, so a mistake costs
	// more than with a single request.
	partQuarantineStrikes = 3
	// partProvenStrikes is the number of strikes from which a part gets no trial.
	partProvenStrikes = 5
	// partTrialAfter and partTrialSpread are trialAfter and trialSpread for a part, shorter
	// since a mistake refuses sound callers.
	partTrialAfter  = 20 * time.Second
	partTrialSpread = 20 * time.Second
)

// partQuarantineConfig returns the configuration of the strikes against parts of prompts.
func partQuarantineConfig(random *randomSource) routing.QuarantineConfig {
	return routing.QuarantineConfig{
		QuarantineStrikes: partQuarantineStrikes,
		ProvenStrikes:     partProvenStrikes,
		TrialAfter:        partTrialAfter + random.upTo(partTrialSpread),
	}
}

// checkParts returns *QuarantinedError for a request with a part that must not be sent on.
func (g *Gateway) checkParts(req *request) error {
	for i, fingerprint := range req.partFingerprints {
		if verdict := g.strikes.Parts.Verdict(fingerprint); g.isRefused(req, &verdict) {
			return &QuarantinedError{Verdict: verdict, Part: req.metadata.SharedParts[i]}
		}
	}
	return nil
}

// recordPartCrash records strikes against the parts that may be to blame for a crash before
// the answer began.
func (g *Gateway) recordPartCrash(req *request, crash uint64) {
	suspects, weak := req.service.parts.recordCrash(req)
	for _, fingerprint := range suspects {
		news, verdict := g.strikes.Parts.StrikePart(fingerprint, crash, len(suspects) > 1, weak)
		if len(news) == 0 {
			continue
		}
		g.strikeNews.add(news)
		g.metrics.recordStrike()
		part := req.metadata.SharedParts[slices.Index(req.partFingerprints, fingerprint)]
		req.logger.Info("part of a prompt may have crashed an endpoint",
			"request", req.metadata.ID, "part", part, "fingerprint", fingerprintText(fingerprint),
			"crash", strikes.CrashText(crash), "suspects", len(suspects), "weak", weak, "strikes", len(verdict.Crashes))
		if verdict.Refused {
			g.startQuarantine(verdict, "own")
		}
	}
}

// contradict turns the strikes of other entries against parts that have begun here lately into
// absolutions, and reports whether there are any. An entry blames several parts of a prompt if it
// knows of none that it has begun; one that knows better tells the others. A strike against a
// single part stands: it may have turned deadly after its last begin here.
func (g *Gateway) contradict(received loadreport.Strikes) bool {
	contradicted := false
	for i := range received {
		strike := &received[i]
		if strike.Part && strike.Shared && !strike.Absolved && g.hasBegunLately(strike.Fingerprint) {
			strike.Absolved = true
			contradicted = true
		}
	}
	return contradicted
}

// hasBegunLately reports whether requests with a part have begun here, without an unusual silence
// since. The fingerprint of a part names its service.
func (g *Gateway) hasBegunLately(part uint64) bool {
	for _, service := range *g.services.Load() {
		if service.parts.hasBegunLately(part) {
			return true
		}
	}
	return false
}

// recordBegin absolves the parts of a request that an endpoint has begun to answer.
func (g *Gateway) recordBegin(req *request) {
	req.service.parts.recordBegin(req)
	for _, fingerprint := range req.partFingerprints {
		absolved := g.strikes.Parts.Absolve(fingerprint)
		if len(absolved) == 0 {
			continue
		}
		g.strikeNews.add(absolved)
		req.logger.Info("part of prompts absolved of crashes", "request", req.metadata.ID, "fingerprint", fingerprintText(fingerprint), "strikes", len(absolved))
	}
}
