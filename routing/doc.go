// Package routing decides which endpoint serves a call and when: rank
// scheduling and fair queueing, endpoint choice, load shedding, retry budgets
// and the quarantine of requests that crash endpoints. It performs no I/O; time
// and randomness are arguments.
//
// An agent owns a Queue, which decides what its endpoint runs. An entry reads
// a Table snapshot to choose an endpoint and holds calls that no endpoint can
// take in an OverflowQueue. A Queue, OverflowQueue, RetryBudget or Quarantine
// must be used from one goroutine; a Table is safe for concurrent use.
package routing
