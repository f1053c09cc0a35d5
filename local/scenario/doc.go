// Package scenario reads the INI files that describe a run of
// snipestep-local: the fleet, its links and engines, the load and the faults.
package scenario
