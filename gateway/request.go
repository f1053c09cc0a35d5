package gateway

import (
	"log/slog"
	"strconv"
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/routing/places"
)

// request is one caller's attempt on its way through the gateway. It belongs
// to one goroutine.
type request struct {
	call         Call
	route        *directory.Route
	service      *service
	organisation core.OrganisationID
	rank         int
	body         []byte
	arrived      time.Time
	deadline     time.Time // Zero for none.
	// runs counts the endpoints that may have run the request.
	runs int
	// arrivals counts the endpoints that the request reached.
	arrivals int
	// without lists endpoints that failed the request.
	without []string
	waited  time.Duration
	// endpoint is the last one that was chosen.
	endpoint string
	// seen is what the last choice of an endpoint rested on.
	seen places.Seen
	// first is when the first event or the answer was there; zero before.
	first  time.Time
	logger *slog.Logger
}

// left returns how long the answer is of use; 0 stands for no bound.
func (r *request) left(now time.Time) time.Duration {
	if r.deadline.IsZero() {
		return 0
	}
	return max(r.deadline.Sub(now), time.Millisecond)
}

func (r *request) rankName() string {
	return strconv.Itoa(r.rank)
}

const (
	// returnedShare is the part of a route's time below which a request is
	// taken for one that came back: callers give a new one nearly all of it.
	returnedShare = 0.82
	// lateHold is how long beyond its aim a request is held for a place. A
	// late answer is worth less, and the hold of one that is refused in the
	// end keeps its caller from coming back elsewhere.
	lateHold = 600 * time.Millisecond
	// begunHold is how long a broken stream waits for a place to go on; its
	// caller leaves after a gap of two seconds or more.
	begunHold = 1800 * time.Millisecond
	// leastService is the time that must be left to answer at all.
	leastService = 200 * time.Millisecond
)

// ask returns what the pool needs to know of the request.
func (r *request) ask(now time.Time, begun bool) places.Ask {
	a := places.Ask{
		Begun:        begun,
		Rank:         r.rank,
		Organisation: r.organisation,
		Arrived:      r.arrived,
		OnTimeUntil:  r.arrived.Add(r.patience()),
		Returned:     r.returned(),
		Size:         float64(r.call.PromptTokens + r.call.AnswerTokens),
		Prompt:       float64(r.call.PromptTokens),
		Tight:        r.tight(),
		Expected:     r.service.expected(r.call.Hint),
		Without:      r.without,
	}
	a.GiveUp = r.arrived.Add(r.route.Aim + lateHold)
	if begun {
		// The caller has a part of the answer: any place in time is of use.
		a.GiveUp = now.Add(begunHold)
	}
	if latest := r.deadline.Add(-leastService); !r.deadline.IsZero() && a.GiveUp.After(latest) {
		a.GiveUp = latest
	}
	if a.GiveUp.Before(now) {
		a.GiveUp = now
	}
	return a
}

// leastPatience is the part of the aim within which a request counts as on time
// whatever the mean answer takes: under load that mean rises, and the most
// urgent requests, with the shortest aims, would be the first to be given up.
const leastPatience = 0.5

// patience is how long a request may wait for a place and still be on time.
func (r *request) patience() time.Duration {
	least := time.Duration(leastPatience * float64(r.route.Aim))
	return max(r.route.Aim-time.Duration(r.service.firstAnswer.Load()), least)
}

// tightSlack is the time between the aim and an idle endpoint's first event
// below which one long prompt in front of a request makes it late: such a
// prompt takes about 100 ms.
const tightSlack = 150 * time.Millisecond

// tight reports whether the aim leaves little time.
func (r *request) tight() bool {
	return r.route.Kind == directory.Stream && r.route.Aim < firstAnswerGuess+tightSlack
}

// returned reports whether the caller seems to come back after a refusal.
func (r *request) returned() bool {
	whole := r.route.Timeout
	return r.call.Left > 0 && whole > 0 && float64(r.call.Left) < returnedShare*float64(whole)
}
