// Package fakes holds small stand-ins for the platform's services, the model
// engines and the plain services, as HTTP handlers, and the shaping of links
// between instances of one process. Each counts what it sees: the counts are
// the oracle of what must always hold.
package fakes
