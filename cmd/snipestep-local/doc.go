// Command snipestep-local runs a whole fleet in one process over loopback,
// against small stand-ins for the platform and the endpoints.
package main
