// Package gateway is the entry's part towards callers where endpoints are
// called directly: it finds the route of a request, waits for a place at an
// endpoint, sends the request on and passes the answer back as a whole or
// event by event. A request goes to a further endpoint only where it cannot
// have run or may run again. The wire's names come in through a Dialect.
//
// Life cycle: New, Run, then ServeHTTP until Drain; a drained gateway answers
// what it has and is not ready.
package gateway
