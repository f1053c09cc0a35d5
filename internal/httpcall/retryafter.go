package httpcall

import (
	"net/http"
	"strconv"
)

const millisecondsPerSecond = 1000

func retryAfterMS(header http.Header) int64 {
	seconds, err := strconv.ParseInt(header.Get("Retry-After"), 10, 32)
	if err != nil || seconds < 0 {
		return 0
	}
	return seconds * millisecondsPerSecond
}
