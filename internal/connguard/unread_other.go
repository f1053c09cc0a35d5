//go:build !unix

package connguard

import "net"

// hasUnread reports false where a socket cannot be looked into.
func hasUnread(net.Conn) bool {
	return false
}
