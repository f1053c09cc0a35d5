// Package fakes implements fakes of the platform's services, the model engines
// and the plain services as HTTP handlers, and shapes the links between
// instances of one process. Tests check invariants against the counts that each
// fake keeps.
package fakes
