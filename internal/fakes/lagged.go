package fakes

import "time"

// lagged makes each value visible after a lag, the first one at once.
type lagged[T any] struct {
	lag     time.Duration
	history []laggedValue[T] // The first one is visible.
}

type laggedValue[T any] struct {
	setAt time.Time
	value T
}

func (l *lagged[T]) put(now time.Time, value T) {
	l.history = append(l.history, laggedValue[T]{setAt: now, value: value})
	l.prune(now)
}

// latest returns the newest value, or the zero value.
func (l *lagged[T]) latest() T {
	var zero T
	if len(l.history) == 0 {
		return zero
	}
	return l.history[len(l.history)-1].value
}

// visible returns the newest value that is at least as old as the lag.
func (l *lagged[T]) visible(now time.Time) T {
	l.prune(now)
	var zero T
	if len(l.history) == 0 {
		return zero
	}
	return l.history[0].value
}

// prune drops the values that a later visible value has replaced.
func (l *lagged[T]) prune(now time.Time) {
	cutoff := now.Add(-l.lag)
	for len(l.history) > 1 && !l.history[1].setAt.After(cutoff) {
		l.history = l.history[1:]
	}
}
