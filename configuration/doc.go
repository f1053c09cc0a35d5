// Package configuration keeps the configuration document in the platform's
// key-value service: commits by compare-and-swap, a watch that survives
// outages, and the lease of the one entry that carries plans out.
package configuration
