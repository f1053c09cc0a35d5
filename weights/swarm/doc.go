// Package swarm transfers weight chunks between instances. Its gnet TCP server
// serves verified chunks and its client requests them; Node runs both and
// carries out the decisions of package weights.
package swarm
