// Package core holds the value types that every role of snipestep shares:
// identifiers, ranks, locations, digests and configuration generations.
// It performs no I/O and has no mutable state.
package core
