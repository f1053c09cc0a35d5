// Package swarm moves weight chunks between instances: a gnet TCP server that
// serves verified chunks, a client that requests them, and Node, which runs
// both and follows the decisions of package weights.
package swarm
