package fakes

import "time"

// lagged shows a value after a lag. The first value is shown at once.
type lagged[T any] struct {
	lag     time.Duration
	history []laggedValue[T] // The first one is shown.
}

type laggedValue[T any] struct {
	at    time.Time
	value T
}

func (l *lagged[T]) put(now time.Time, value T) {
	l.history = append(l.history, laggedValue[T]{at: now, value: value})
	l.forget(now)
}

// latest returns the newest value, or the zero value.
func (l *lagged[T]) latest() T {
	var none T
	if len(l.history) == 0 {
		return none
	}
	return l.history[len(l.history)-1].value
}

// shown returns the newest value that is at least the lag old.
func (l *lagged[T]) shown(now time.Time) T {
	l.forget(now)
	var none T
	if len(l.history) == 0 {
		return none
	}
	return l.history[0].value
}

// forget drops what a later shown value replaced.
func (l *lagged[T]) forget(now time.Time) {
	visible := now.Add(-l.lag)
	for len(l.history) > 1 && !l.history[1].at.After(visible) {
		l.history = l.history[1:]
	}
}
