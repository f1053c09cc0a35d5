// Package routing holds the decisions on the path of a call: ranks and fair
// queueing, endpoint choice, early shedding, retry budgets and the quarantine
// of requests that crash endpoints. It performs no I/O; time and randomness
// are arguments.
//
// An agent owns a Queue, which decides what its endpoint runs. An entry reads
// a Table snapshot to choose an endpoint and holds calls that no endpoint can
// take in an Overflow. Queue, Overflow, RetryBudget and Quarantine each belong
// to one goroutine; a Table is safe for concurrent use.
package routing
