// Package entry implements the entry instance, which runs behind the platform's
// load balancer. It authenticates callers, ranks their calls, chooses an
// endpoint for each attempt and returns either the complete response or a
// refusal that says whether the call may have run. It turns operators' intents
// into plans and, while it holds the executor's lease, carries them out. No
// other role uses the key-value service.
//
// An Entry serves from Run until its context ends. It has no persistent state
// of its own; that is in the key-value service.
package entry
