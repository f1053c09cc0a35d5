// Package sidecar implements the agent for deployments in which entries call
// endpoints directly. Its Reconciler keeps the local engine at the declared
// version of the weights and reports the engine's load to entries. The swarm
// downloads chunks from other agents and the origin. The agent verifies chunks before
// it stages them at the engine, and reads them back and verifies them again before it
// orders the engine to load them. Engines switch versions at staggered times, so that
// most of them serve at any time.
//
// Life cycle: New, then Run until its context ends. Nothing is stored on disk: a
// new process recovers the chunks that are staged at the engine.
package sidecar
