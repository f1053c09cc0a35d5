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
	// maxChance is the chance below which weak strikes refuse a part. A crash of all endpoints is expected
	// some times a year, with a few hundred parts in use.
	maxChance = 1e-3
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

// recordPartCrash records strikes against the parts that may be to blame for a crash before a request
// was answered; late says that its answer had begun.
func (g *Gateway) recordPartCrash(req *request, crash uint64, late bool) {
	suspects, weak := req.service.parts.recordCrash(req, late)
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
			"crash", strikes.CrashText(crash), "suspects", len(suspects), "weak", weak, "late", late, "strikes", len(verdict.Crashes))
		if verdict.Refused {
			g.startQuarantine(verdict, "own")
		}
	}
}

// contradict turns the strikes of other entries against parts that were answered here lately into
// absolutions, and reports whether there are any. An entry blames several parts of a prompt if it
// knows of none that was answered; one that knows better tells the others. A strike against a
// single part stands: it may have turned deadly after its last answer here.
func (g *Gateway) contradict(received loadreport.Strikes) bool {
	contradicted := false
	for i := range received {
		strike := &received[i]
		if strike.Part && strike.Shared && !strike.Absolved && g.isAnsweredLately(strike.Fingerprint) {
			strike.Absolved = true
			contradicted = true
		}
	}
	return contradicted
}

// isAnsweredLately reports whether requests with a part were answered here, without an unusual silence
// since. The fingerprint of a part names its service.
func (g *Gateway) isAnsweredLately(part uint64) bool {
	for _, service := range *g.services.Load() {
		if service.parts.isAnsweredLately(part) {
			return true
		}
	}
	return false
}

// chanceOf returns how likely it is that so many crashes met requests with a part by chance. The
// fingerprint of a part names its service, which only its requests tell: the largest chance counts as long as
// none came here.
func (g *Gateway) chanceOf(part uint64, crashes int) float64 {
	largest := 0.0
	for _, service := range *g.services.Load() {
		chance, known := service.parts.chance(part, crashes)
		if known {
			return chance
		}
		largest = max(largest, chance)
	}
	if largest == 0 {
		return 1 // Nothing was answered or has crashed here.
	}
	return largest
}

// confirmParts tells the other entries of the parts that this one refuses by the odds. It is called
// regularly.
func (g *Gateway) confirmParts() {
	confirmed := g.strikes.Parts.Confirm()
	if len(confirmed) == 0 {
		return
	}
	g.strikeNews.add(confirmed)
	g.deps.Logger.Info("weak strikes against parts of prompts confirmed by the odds", "strikes", len(confirmed))
}

// recordAnswer absolves the request and the parts of its prompt: an endpoint has answered it whole.
// The first event absolves nothing, as a part may crash endpoints after it.
func (g *Gateway) recordAnswer(req *request) {
	g.absolveRequest(req)
	req.service.parts.recordAnswer(req)
	for _, fingerprint := range req.partFingerprints {
		absolved := g.strikes.Parts.Absolve(fingerprint)
		if len(absolved) == 0 {
			continue
		}
		g.strikeNews.add(absolved)
		req.logger.Info("part of prompts absolved of crashes", "request", req.metadata.ID, "fingerprint", fingerprintText(fingerprint), "strikes", len(absolved))
	}
}
