// Package intent turns operators' intents into plans and plans into orders.
// It performs no I/O: the document, the view of the fleet, the time and
// identifiers are arguments.
package intent
