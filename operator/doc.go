// Package operator is the operators' HTTP API: its JSON types, the handler
// that entries serve, the client behind snipestepctl, and the tables that it
// prints. Every failure is an RFC 9457 problem document; its code is one of
// the Code constants.
package operator
