// Package admission implements admission control and load balancing for the
// endpoints of a service: it decides which endpoint runs a request, which
// requests wait for a slot and which are refused. Several entries share the
// endpoints without a coordinator: each counts its own requests exactly and
// learns the load of an endpoint from reports of the agent on its instance.
//
// Pool makes the decisions and has neither clock nor I/O. Gate adds a lock and
// a clock to a Pool and blocks callers while their requests wait.
package admission
