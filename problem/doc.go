// Package problem holds RFC 9457 problem documents, the form of every refusal
// on the HTTP interfaces.
package problem
