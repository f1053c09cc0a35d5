// Command snipestep-local runs a whole fleet in one process over loopback,
// against small fakes of the platform and the endpoints.
package main
