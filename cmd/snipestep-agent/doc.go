// Command snipestep-agent runs the agent beside one endpoint.
package main
