// Command snipestep-entry runs an entry: the instance behind the platform's
// balancer that serves callers and operators.
package main
