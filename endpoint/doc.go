// Package endpoint defines the clients through which agents call their
// endpoints: model engines and plain services. Callers use the interfaces; the
// HTTP clients implement the protocols of docs/PROTOCOLS.md. The clients send a
// request at most once and never retry.
package endpoint
