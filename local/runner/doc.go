// Package runner runs a scenario: it starts the fake services, entries and agents
// of a whole fleet in one process over loopback, generates load, injects faults and
// collects the report. Each instance has an IP address of its own in Linux's
// loopback network.
package runner
