// Command snipestep-direct runs either role of a deployment whose entries call
// endpoints directly: "entry" next to the load balancer, or "agent" next to a model
// engine. It only connects the settings, telemetry, platform adapter and role.
package main
