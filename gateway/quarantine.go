package gateway

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/routing"
	"github.com/snipestep/snipestep/strikes"
)

// QuarantinedError reports a request that is not sent on, as it was running at several
// crashes of endpoints.
type QuarantinedError struct {
	Verdict strikes.Verdict
	// Part is the part of the prompt to blame, empty if the request itself is.
	Part string
}

// Error implements error.
func (e *QuarantinedError) Error() string {
	culprit := "request"
	if e.Part != "" {
		culprit = "part " + e.Part + " of the prompt"
	}
	return fmt.Sprintf("%s was running at crashes %s of endpoints, refused for %v more",
		culprit, strings.Join(e.Verdict.Crashes, ", "), e.Verdict.Remaining.Round(time.Millisecond))
}

const (
	// trialAfter is when a request that was running at two crashes may run once more. Two
	// endpoints may crash for another reason while the same request runs at both, and a
	// caller whose sound request is refused should not wait as long as for a proven one.
	trialAfter = time.Minute
	// trialSpread is the span over which entries spread their trials of a request, so that
	// the first one can tell the others: it may come at all entries.
	trialSpread = time.Minute
	// trialRetryAfter is sent while another request runs as the trial.
	trialRetryAfter = time.Second
)

// quarantineConfig returns the configuration of the strikes against requests.
func quarantineConfig(random *randomSource) routing.QuarantineConfig {
	return routing.QuarantineConfig{TrialAfter: trialAfter + random.upTo(trialSpread)}
}

// checkQuarantine returns *QuarantinedError for a request that must not be sent on.
func (g *Gateway) checkQuarantine(req *request) error {
	if verdict := g.strikes.Requests.Verdict(req.fingerprint); g.isRefused(req, &verdict) {
		return &QuarantinedError{Verdict: verdict}
	}
	return g.checkParts(req)
}

// isRefused reports whether a verdict refuses a request. After a quarantine without proof
// it refuses all but one at a time.
func (g *Gateway) isRefused(req *request, verdict *strikes.Verdict) bool {
	if verdict.OnTrial && !g.trials.start(req, verdict.Fingerprint) {
		verdict.Remaining = trialRetryAfter
		return true
	}
	return verdict.Refused
}

// recordCrash records strikes against a request that an endpoint broke off and against the
// parts of its prompt, if the endpoint has crashed. An endpoint of an evacuated failure domain gets
// no connection to find that out.
func (g *Gateway) recordCrash(ctx context.Context, req *request, attempt *endpointAttempt, err error) {
	if attempt.endpoint == nil || !isConnectionLost(err) || g.isLeaving(attempt.endpoint) || g.deps.Directory.View().IsEvacuated(attempt.endpoint.FailureDomain) || !g.crashes.isCrashed(ctx, attempt.endpoint) {
		return
	}
	crash := strikes.CrashOf(attempt.endpoint.ID, attempt.endpoint.StartedUnixMS)
	g.recordPartCrash(req, crash, attempt.answering)
	news, verdict := g.strikes.Requests.Strike(req.fingerprint, crash, attempt.answering)
	if len(news) == 0 {
		return
	}
	g.strikeNews.add(news)
	g.metrics.recordStrike()
	req.logger.Info("request was running at a crash",
		"request", req.metadata.ID, "fingerprint", req.fingerprintText(), "endpoint", attempt.endpoint.ID,
		"crash", strikes.CrashText(crash), "late", attempt.answering, "parts", req.metadata.SharedParts, "strikes", len(verdict.Crashes))
	if verdict.Refused {
		g.startQuarantine(verdict, "own")
	}
}

// isLeaving reports whether an endpoint that was listed is draining or no longer listed:
// it ends as planned, with the requests that it has not finished.
func (g *Gateway) isLeaving(endpoint *directory.Endpoint) bool {
	listed := g.deps.Directory.View().Endpoints[endpoint.ID]
	return listed == nil || listed.Draining
}

// absolveRequest absolves a request that an endpoint ran to its end.
func (g *Gateway) absolveRequest(req *request) {
	absolved := g.strikes.Requests.Absolve(req.fingerprint)
	if len(absolved) == 0 {
		return
	}
	g.strikeNews.add(absolved)
	req.logger.Info("request absolved of crashes", "request", req.metadata.ID, "fingerprint", req.fingerprintText(), "strikes", len(absolved))
}

// startQuarantine withdraws the requests of a new quarantine from the endpoints at which
// they wait, before they crash them too. The source says who recorded its last strike.
func (g *Gateway) startQuarantine(verdict strikes.Verdict, source string) {
	withdrawn := g.unstarted.cancelMatching(
		func(req *request) bool { return req.isOf(verdict) }, &QuarantinedError{Verdict: verdict})
	message := "request quarantined"
	if verdict.IsPart {
		message = "part of prompts quarantined"
	}
	g.deps.Logger.Warn(message,
		"fingerprint", fingerprintText(verdict.Fingerprint), "crashes", verdict.Crashes,
		"for_ms", verdict.Remaining.Milliseconds(), "source", source, "withdrawn", withdrawn)
}
