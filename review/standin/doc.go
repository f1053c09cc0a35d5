//go:build review

// Command standin plays the cases of the review that are scripts: it starts the project's
// programs as separate processes on loopback addresses, beside stand-ins of the platform's
// store, the replicas, the origin of weights, the operator and the consumers, which do what
// the users' pages say. The word after the command names the case.
package main
