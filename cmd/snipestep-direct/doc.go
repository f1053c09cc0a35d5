// Command snipestep-direct runs the two roles of a deployment whose entries
// call endpoints directly: "entry" beside the balancer, "agent" beside a model
// engine. It only wires: settings, telemetry, the platform's adapter and the
// role.
package main
