// Package intent turns operators' intents into plans, and reconciles the fleet
// with the confirmed document by orders to agents. It performs no I/O: the
// document, the view of the fleet, the time and identifiers are arguments.
package intent
