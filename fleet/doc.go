// Package fleet defines the configuration document and its generations, and
// tracks the fleet's membership from heartbeats and the instance list. It also
// selects peer subsets and assigns fleet-wide tasks. It performs no I/O: time
// and events are arguments.
package fleet
