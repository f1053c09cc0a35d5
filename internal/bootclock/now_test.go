package bootclock

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Time.String shows a monotonic reading as " m=".
const monotonicMark = " m="

func TestNowAdvancesWithTime(t *testing.T) {
	const pause = 20 * time.Millisecond
	steadyStart, start := time.Now(), Now()
	time.Sleep(pause)
	elapsed := Since(start)
	steady := time.Since(steadyStart)

	assert.Assert(t, elapsed >= pause, "advanced by %s in %s", elapsed, pause)
	assert.Assert(t, elapsed <= steady+time.Second, "advanced by %s in %s", elapsed, steady)
}

func TestNowCarriesNoMonotonicReading(t *testing.T) {
	assert.Assert(t, strings.Contains(time.Now().String(), monotonicMark))
	assert.Assert(t, !strings.Contains(Now().String(), monotonicMark))
}

func TestNowNeverGoesBack(t *testing.T) {
	previous := Now()
	for range 10_000 {
		now := Now()
		assert.Assert(t, !now.Before(previous), "%s after %s", now, previous)
		previous = now
	}
}

func TestNowIsCloseToTheTimeOfDayAtTheStart(t *testing.T) {
	assert.Assert(t, Now().Sub(time.Now().Round(0)).Abs() < time.Minute)
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}

func BenchmarkTimeNow(b *testing.B) {
	for b.Loop() {
		_ = time.Now()
	}
}
