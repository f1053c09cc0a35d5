// Package agent is the process beside one endpoint. It runs every call to the
// endpoint, queues calls by rank and organisation, fetches and serves weight
// chunks, and is the only one to give the endpoint orders.
//
// An Agent lives from Run until its context ends. It then announces that it
// leaves, refuses new calls, waits for the running ones and stops.
package agent
