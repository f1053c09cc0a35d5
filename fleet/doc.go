// Package fleet holds the configuration document and the view of the fleet:
// membership, incarnations, heartbeats, configuration generations and
// subsets. It performs no I/O: time and events are arguments.
package fleet
