package loadreport

import "time"

// RemoteInterval returns the time between two datagrams to each peer of another region, where
// each of near peers of the own region gets one every nearInterval and MaxDatagramsPerSecond
// bounds all of them. It is at least nearInterval and at most maxInterval.
func RemoteInterval(near, remote int, nearInterval, maxInterval time.Duration) time.Duration {
	left := MaxDatagramsPerSecond - near*int(time.Second/nearInterval)
	if left <= 0 {
		return maxInterval
	}
	interval := time.Duration(remote) * time.Second / time.Duration(left)
	return min(max(interval, nearInterval), maxInterval)
}
