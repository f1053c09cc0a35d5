// Command snipestep-entry runs an entry: an instance behind the platform's load
// balancer that serves callers and operators.
package main
