// Command snipestep-agent runs the agent of one endpoint.
package main
