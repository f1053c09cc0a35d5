package gateway

import (
	"log/slog"
	"strconv"
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/routing/admission"
)

// request is the state of one caller request. It belongs to one goroutine.
type request struct {
	call         CallMetadata
	route        *directory.Route
	service      *service
	organisation core.OrganisationID
	rank         int
	body         []byte
	arrivedAt    time.Time
	deadline     time.Time // Zero for none.
	// runs counts the endpoints that may have run the request.
	runs int
	// endpointsReached counts the endpoints to which a connection was made.
	endpointsReached int
	// failedEndpoints lists the endpoints whose attempts failed.
	failedEndpoints []string
	queueWait       time.Duration
	// lastEndpoint is the endpoint that was chosen last.
	lastEndpoint string
	// loadAtChoice is the load information behind that choice.
	loadAtChoice admission.LoadEstimate
	// firstResponseAt is when the first event or the complete response arrived;
	// zero before.
	firstResponseAt time.Time
	logger          *slog.Logger
}

// timeLeft returns the time until the deadline; 0 stands for no deadline.
func (r *request) timeLeft(now time.Time) time.Duration {
	if r.deadline.IsZero() {
		return 0
	}
	return max(r.deadline.Sub(now), time.Millisecond)
}

func (r *request) rankLabel() string {
	return strconv.Itoa(r.rank)
}

const (
	// retriedTimeShare is the fraction of the route's timeout below which a
	// request counts as a retry by its caller: callers give a new one nearly all
	// of it.
	retriedTimeShare = 0.82
	// lateQueueTime is how long past its latency target a request stays queued. A
	// late response is worth less, and queueing a request that is refused in the
	// end keeps its caller from retrying elsewhere.
	lateQueueTime = 600 * time.Millisecond
	// resumeQueueTime is how long a broken stream waits for a slot; its caller
	// leaves after a gap of two seconds or more.
	resumeQueueTime = 1800 * time.Millisecond
	// minServiceTime is the time that must remain before the deadline to start.
	minServiceTime = 200 * time.Millisecond
)

// slotRequest describes the request for the slot pool.
func (r *request) slotRequest(now time.Time, partlyAnswered bool) admission.Request {
	a := admission.Request{
		Resumed:             partlyAnswered,
		Rank:                r.rank,
		Organisation:        r.organisation,
		ArrivedAt:           r.arrivedAt,
		SoftDeadline:        r.arrivedAt.Add(r.onTimeQueueTime()),
		ClientRetry:         r.callerRetried(),
		TotalTokens:         float64(r.call.PromptTokens + r.call.OutputTokens),
		PromptTokens:        float64(r.call.PromptTokens),
		LatencyCritical:     r.latencyCritical(),
		ExpectedServiceTime: r.service.expectedDuration(r.call.LengthHint),
		ExcludedEndpoints:   r.failedEndpoints,
	}
	a.HardDeadline = r.arrivedAt.Add(r.route.LatencyTarget + lateQueueTime)
	if partlyAnswered {
		// The caller has a part of the response, so any slot in time is useful.
		a.HardDeadline = now.Add(resumeQueueTime)
	}
	if latest := r.deadline.Add(-minServiceTime); !r.deadline.IsZero() && a.HardDeadline.After(latest) {
		a.HardDeadline = latest
	}
	if a.HardDeadline.Before(now) {
		a.HardDeadline = now
	}
	return a
}

// minQueueTimeShare is the fraction of the latency target within which a queued
// request counts as on time regardless of the mean response time: under load that
// mean rises, and the most urgent requests, with the shortest targets, would be
// the first to be dropped.
const minQueueTimeShare = 0.5

// onTimeQueueTime is how long a request may be queued and still be on time.
func (r *request) onTimeQueueTime() time.Duration {
	minimum := time.Duration(minQueueTimeShare * float64(r.route.LatencyTarget))
	return max(r.route.LatencyTarget-time.Duration(r.service.firstResponseNanos.Load()), minimum)
}

// latencyCriticalSlack is the slack between the latency target and an idle
// endpoint's first event below which one long prompt ahead of a request makes it
// late: such a prompt takes about 100 ms.
const latencyCriticalSlack = 150 * time.Millisecond

// latencyCritical reports whether the latency target leaves little slack.
func (r *request) latencyCritical() bool {
	return r.route.Kind == directory.Streaming && r.route.LatencyTarget < initialFirstResponse+latencyCriticalSlack
}

// callerRetried reports whether the caller seems to retry after a refusal.
func (r *request) callerRetried() bool {
	routeTimeout := r.route.Timeout
	return r.call.TimeLeft > 0 && routeTimeout > 0 && float64(r.call.TimeLeft) < retriedTimeShare*float64(routeTimeout)
}
