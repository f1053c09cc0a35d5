package swarm

import (
	"github.com/uber-go/tally/v4"

	"github.com/snipestep/snipestep/telemetry"
)

// metrics holds the counters of a node.
type metrics struct {
	chunksSent, bytesSent         tally.Counter
	chunksReceived, bytesReceived tally.Counter
	crossRegionBytesReceived      tally.Counter
	originBytes, storeBytes       tally.Counter
	corrupt, malformed, rejected  tally.Counter
	stalled, lost, refused        tally.Counter
	controlBytes                  tally.Counter
}

func newMetrics(scope tally.Scope) *metrics {
	fetched := func(source string) tally.Counter {
		return scope.Tagged(map[string]string{telemetry.TagSource: source}).Counter(telemetry.MetricChunkBytesFetched)
	}
	fault := func(name string) tally.Counter {
		return scope.Tagged(map[string]string{telemetry.TagFault: name}).Counter(telemetry.MetricChunkFaults)
	}
	return &metrics{
		chunksSent:               scope.Counter(telemetry.MetricChunksServed),
		bytesSent:                scope.Counter(telemetry.MetricChunkBytesServed),
		chunksReceived:           scope.Counter(telemetry.MetricChunksFetched),
		bytesReceived:            fetched("peer"),
		crossRegionBytesReceived: scope.Counter(telemetry.MetricRegionChunkBytes),
		originBytes:              fetched("origin"),
		storeBytes:               fetched("store"),
		corrupt:                  scope.Counter(telemetry.MetricCorruptChunks),
		malformed:                fault("malformed"),
		rejected:                 fault("rejected"),
		stalled:                  fault("stalled"),
		lost:                     fault("lost"),
		refused:                  fault("refused"),
		controlBytes:             scope.Counter(telemetry.MetricChunkControlBytes),
	}
}
