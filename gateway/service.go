package gateway

import (
	"sync/atomic"
	"time"

	"github.com/snipestep/snipestep/routing/places"
)

// service is the part of a gateway that belongs to one service.
type service struct {
	gate   *places.Gate
	budget *budget
	// firstAnswer is the mean time from sending a request to its first event
	// or its answer, in nanoseconds.
	firstAnswer atomic.Int64
	// perToken is the mean time of a stream for each token that its caller
	// expected, in nanoseconds.
	perToken atomic.Int64
}

const (
	// firstAnswerGuess stands until a time was measured: a full engine needs
	// one pass, the prompt and another pass.
	firstAnswerGuess = 120 * time.Millisecond
	// perTokenGuess stands until streams were measured: an engine makes a
	// token in about 8 ms.
	perTokenGuess = 9 * time.Millisecond
	// firstAnswerWeight is one over the weight of a new sample.
	firstAnswerWeight = 32
)

func (s *service) measureFirst(d time.Duration) {
	old := s.firstAnswer.Load()
	s.firstAnswer.Store(old + (int64(d)-old)/firstAnswerWeight)
}

// measureStream takes in how long a stream took from its first event on.
func (s *service) measureStream(took time.Duration, hint int) {
	if hint <= 0 {
		return
	}
	old := s.perToken.Load()
	s.perToken.Store(old + (int64(took)/int64(hint)-old)/firstAnswerWeight)
}

// expected returns how long a request of an expected length keeps its place.
func (s *service) expected(hint int) time.Duration {
	return time.Duration(s.firstAnswer.Load() + int64(hint)*s.perToken.Load())
}
