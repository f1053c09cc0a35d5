package gateway

import (
	"sync/atomic"
	"time"

	"github.com/snipestep/snipestep/routing/places"
)

// service is the part of a gateway that belongs to one service.
type service struct {
	name   string
	gate   *places.Gate
	budget *budget
	// firstAnswer is the mean time from sending a request to its first event
	// or its answer, in nanoseconds.
	firstAnswer atomic.Int64
}

const (
	// firstAnswerGuess stands until a time was measured: a full engine needs
	// one pass, the prompt and another pass.
	firstAnswerGuess = 120 * time.Millisecond
	// firstAnswerWeight is one over the weight of a new sample.
	firstAnswerWeight = 32
)

func (s *service) measureFirst(d time.Duration) {
	old := s.firstAnswer.Load()
	s.firstAnswer.Store(old + (int64(d)-old)/firstAnswerWeight)
}
