// Package loopback reserves a loopback network for each fleet that runs on one
// machine.
package loopback
