// Package backing defines the clients of the platform's services: the
// key-value service, the instance list, the weight store and the origin.
// Callers use the interfaces; the HTTP clients implement the protocols of
// docs/PROTOCOLS.md.
package backing
