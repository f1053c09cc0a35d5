// Package operator implements the operators' HTTP API: its JSON types, the
// handler that entries serve, the client used by snipestepctl, and the tables
// that snipestepctl prints. Every error response is an RFC 9457 problem document
// whose code is one of the Code constants.
package operator
