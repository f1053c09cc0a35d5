// Package problem implements RFC 9457 problem documents, the format of all error
// responses of the HTTP interfaces.
package problem
