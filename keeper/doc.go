// Package keeper is the agent's part where entries call endpoints directly: it
// keeps the weights of the engine beside it at the declared version and tells
// entries how busy the engine is. Chunks come from the other agents and from
// the origin by the swarm, are verified before they are staged and again as
// they lie staged before the engine is told to load them. Engines change their
// version in turns, so that most of them serve at any time.
//
// Life cycle: New, then Run until its context ends. Nothing is kept on disk: a
// new process starts from what lies staged at the engine.
package keeper
