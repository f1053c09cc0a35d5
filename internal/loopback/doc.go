// Package loopback keeps fleets of one machine on loopback networks of their
// own.
package loopback
