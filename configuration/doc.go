// Package configuration keeps the configuration document in the platform's
// key-value service: commits by compare-and-swap, a watch that survives
// outages, and the election of the one entry that executes plans.
package configuration
