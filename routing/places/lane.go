package places

import (
	"slices"
	"time"
)

// lane keeps a part of the endpoints for tight requests: there they meet few
// long prompts, which would delay their first event by a pass each. The part
// follows the tight requests' share of the work. Every entry finds the same
// endpoints, in each region by itself, without a word to the others.
type lane struct {
	// tight and all hold the recent work of tight requests and of all, in
	// seconds of places.
	tight, all float64
	at         time.Time
	// order is the place of each endpoint in its region, from 0 to 1.
	order map[string]float64
}

const (
	// laneMemory is the time in which counted work halves.
	laneMemory = 2 * time.Second
	// laneRoom is how much wider the lane is than its work, so that a place is
	// mostly free there.
	laneRoom = 1.4
	// laneMost bounds the lane.
	laneMost = 0.6
)

// setEndpoints orders the endpoints of each region.
func (l *lane) setEndpoints(list []Endpoint) {
	regions := make(map[string][]string)
	for _, e := range list {
		regions[e.Region] = append(regions[e.Region], e.ID)
	}
	l.order = make(map[string]float64, len(list))
	for _, ids := range regions {
		slices.Sort(ids)
		for i, id := range ids {
			l.order[id] = (float64(i) + 0.5) / float64(len(ids))
		}
	}
}

// add counts a request that started.
func (l *lane) add(now time.Time, a *Ask) {
	if now.Sub(l.at) >= laneMemory {
		l.tight /= 2
		l.all /= 2
		l.at = now
	}
	work := a.Expected.Seconds()
	l.all += work
	if a.Tight {
		l.tight += work
	}
}

// has reports whether an endpoint belongs to the lane.
func (l *lane) has(id string) bool {
	if l.all == 0 || l.tight == l.all {
		return false
	}
	return l.order[id] < min(laneRoom*l.tight/l.all, laneMost)
}
