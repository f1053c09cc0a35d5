package swarm

import "github.com/uber-go/tally/v4"

// metrics counts what a node does. Byte counters are in bytes.
type metrics struct {
	chunksSent, bytesSent         tally.Counter
	chunksReceived, bytesReceived tally.Counter
	regionBytesReceived           tally.Counter
	originBytes, storeBytes       tally.Counter
	corrupt, malformed, rejected  tally.Counter
	stalled, lost, refused        tally.Counter
	controlBytes                  tally.Counter
}

func newMetrics(scope tally.Scope) *metrics {
	scope = scope.SubScope("weights")
	return &metrics{
		chunksSent:          scope.Counter("chunks_sent"),
		bytesSent:           scope.Counter("bytes_sent"),
		chunksReceived:      scope.Counter("chunks_received"),
		bytesReceived:       scope.Counter("bytes_received"),
		regionBytesReceived: scope.Counter("region_bytes_received"),
		originBytes:         scope.Counter("origin_bytes"),
		storeBytes:          scope.Counter("store_bytes"),
		corrupt:             scope.Counter("corrupt_chunks"),
		malformed:           scope.Counter("malformed_frames"),
		rejected:            scope.Counter("rejected_connections"),
		stalled:             scope.Counter("stalled_connections"),
		lost:                scope.Counter("lost_connections"),
		refused:             scope.Counter("refused_requests"),
		controlBytes:        scope.Counter("control_bytes"),
	}
}
