package agent

import (
	"time"

	"github.com/snipestep/snipestep/endpoint"
)

const (
	// minCallLimit is used for lower limits, in calls a second: without any call nobody would
	// learn that the limit has ended.
	minCallLimit = 0.1
	// callLimitBurstTime is for how long unused calls of a limit are kept.
	callLimitBurstTime = 500 * time.Millisecond
)

// callLimit bounds the calls a second to an endpoint that asks for it. The agent is the only
// one that sends its endpoint calls, so the whole limit is its own. The zero value is no
// limit. Its times are those of the scheduler's clock.
type callLimit struct {
	perSecond float64 // 0 for no limit.
	// announcedAt is when the limit was last announced.
	announcedAt time.Time
	tokens      float64
	refilledAt  time.Time
}

// limitEvent records what an answer says of the endpoint's limit.
type limitEvent struct {
	notice endpoint.Notice
	// sentAt is when the call was sent. Answers overtake each other, so that the absence of a
	// limit holds for that time only.
	sentAt time.Time
}

// noticeHandler returns the handler of the notices in the answers to a call that is sent now.
func (s *scheduler) noticeHandler() func(endpoint.Notice) {
	sentAt := s.now()
	return func(notice endpoint.Notice) {
		if notice.Limited || s.isLimited.Load() {
			s.post(limitEvent{notice: notice, sentAt: sentAt})
		}
	}
}

func (e limitEvent) apply(s *scheduler) {
	now := s.now()
	switch {
	case e.notice.LimitUnknown:
	case e.notice.Limited:
		s.limit.announce(now, max(e.notice.PerSecond, minCallLimit))
	case e.notice.Own && e.sentAt.After(s.limit.announcedAt):
		s.limit = callLimit{}
	}
	s.isLimited.Store(s.limit.isSet())
}

func (l *callLimit) announce(now time.Time, perSecond float64) {
	if !l.isSet() {
		l.refilledAt = now
	}
	l.refill(now)
	l.perSecond = perSecond
	l.announcedAt = now
	l.tokens = min(l.tokens, l.burst())
}

func (l *callLimit) isSet() bool {
	return l.perSecond > 0
}

// burst returns how many calls may start at once after a pause, at least one.
func (l *callLimit) burst() float64 {
	return max(l.perSecond*callLimitBurstTime.Seconds(), 1)
}

func (l *callLimit) refill(now time.Time) {
	elapsed := max(now.Sub(l.refilledAt), 0)
	l.tokens = min(l.tokens+elapsed.Seconds()*l.perSecond, l.burst())
	l.refilledAt = now
}

// allows reports whether count further calls may start.
func (l *callLimit) allows(now time.Time, count int) bool {
	if !l.isSet() {
		return true
	}
	l.refill(now)
	return l.tokens >= float64(count)
}

// take counts a call that starts.
func (l *callLimit) take() {
	if l.isSet() {
		l.tokens--
	}
}
