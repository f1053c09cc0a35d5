package connguard

import (
	"fmt"
	"io"
	"sync/atomic"

	"github.com/snipestep/snipestep/telemetry"
)

// BrokenKind says what makes a response no answer.
type BrokenKind string

const (
	// BrokenEnd is a connection that ended, and the response with it, before the request was written
	// whole.
	BrokenEnd BrokenKind = "connection_end"
	// BrokenStatus is a status code below 100.
	BrokenStatus BrokenKind = "status_code"
	// BrokenFieldName is a line of a head or a trailer with bytes before its colon that are no field
	// name.
	BrokenFieldName BrokenKind = "field_name"
	// BrokenFieldLine is a line of a head or a trailer that net/http refuses: it has no colon, or
	// other bytes that a field must not have.
	BrokenFieldLine BrokenKind = "field_line"
)

// BrokenResponseError reports bytes of a server that are no response, or only a part of one.
type BrokenResponseError struct {
	Kind BrokenKind
	// Detail is the broken part, without control characters.
	Detail string
	// Cause is nil if there is none beside the response itself.
	Cause error
}

// brokenCounts counts the broken responses that the process has met.
var brokenCounts = map[BrokenKind]*atomic.Int64{
	BrokenEnd: new(atomic.Int64), BrokenStatus: new(atomic.Int64), BrokenFieldName: new(atomic.Int64), BrokenFieldLine: new(atomic.Int64),
}

// newBrokenResponse counts a broken response and returns its error.
func newBrokenResponse(kind BrokenKind, detail string, cause error) *BrokenResponseError {
	brokenCounts[kind].Add(1)
	return &BrokenResponseError{Kind: kind, Detail: detail, Cause: cause}
}

// SampleBrokenResponses adds the number of broken responses of all servers, by their kind, to the
// metrics of a sampler.
func SampleBrokenResponses(s *telemetry.Sampler) {
	for kind, count := range brokenCounts {
		s.Counter(telemetry.MetricBrokenResponses, map[string]string{telemetry.TagFault: string(kind)}, count.Load)
	}
}

// Error implements error.
func (e *BrokenResponseError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("broken response (%s): %s", e.Kind, e.Detail)
	}
	return fmt.Sprintf("broken response (%s): %s: %v", e.Kind, e.Detail, e.Cause)
}

// Unwrap returns the cause. A response that its connection cut short is one that ended unexpectedly.
func (e *BrokenResponseError) Unwrap() []error {
	var causes []error
	if e.Cause != nil {
		causes = append(causes, e.Cause)
	}
	if e.Kind == BrokenEnd {
		causes = append(causes, io.ErrUnexpectedEOF)
	}
	return causes
}
