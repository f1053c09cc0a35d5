package core

import (
	"math"
	"strconv"
	"strings"
)

// LowestRate returns the lowest of the values that are decimal numbers from 0 up, in events
// per second. ok is false if there is none.
func LowestRate(values []string) (perSecond float64, ok bool) {
	for _, value := range values {
		rate, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
			continue
		}
		if !ok || rate < perSecond {
			perSecond, ok = rate, true
		}
	}
	return perSecond, ok
}
