// Package agent implements the sidecar of one endpoint. It queues calls by rank
// and organisation and runs each of them at the endpoint, fetches and serves
// weight chunks, and is the only sender of orders to the endpoint.
//
// An Agent runs until the context of Run ends. It then announces that it
// leaves, refuses new calls, waits for the running ones and stops.
package agent
