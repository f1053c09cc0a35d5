// Package gateway is the caller-facing proxy of entries that call endpoints
// directly. It finds the route of a request, waits for a slot at an endpoint,
// forwards the request, and returns the response when it is complete or event by
// event. A request is retried at another endpoint only if it cannot have run or may
// run again. A HeaderCodec supplies the names of the headers on the wire.
//
// Life cycle: New, Run, then ServeHTTP until Drain; a draining gateway finishes
// its requests and is not ready.
package gateway
