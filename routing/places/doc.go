// Package places decides which endpoint of a service runs a request, which
// requests wait for a place and which are refused. Several entries share the
// endpoints without a coordinator: each counts its own requests exactly and
// learns the load of an endpoint from reports of the agent beside it.
//
// Pool holds the decisions and has neither clock nor I/O. Gate puts a lock, a
// clock and waiting callers around a Pool.
package places
