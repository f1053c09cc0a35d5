// Package entry is the instance behind the platform's balancer. It admits
// callers' calls, gives them a rank, chooses an endpoint for each attempt and
// answers with the whole answer or a true refusal. It takes operators' intents,
// makes plans, and, while it holds the executor's lease, carries them out. It
// is the only role that uses the key-value service.
//
// An Entry lives from Run until its context ends. It keeps nothing: what must
// last is in the key-value service.
package entry
