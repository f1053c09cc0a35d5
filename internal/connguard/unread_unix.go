//go:build unix

package connguard

import (
	"errors"
	"net"
	"syscall"
)

// hasUnread reports whether bytes, the end of the stream or an error have arrived
// on conn and were not read.
func hasUnread(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	rawConn, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	// Control, unlike Read, does not wait for a Read that is under way.
	_ = rawConn.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK)
		// Sockets are non-blocking.
		unread = !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
	})
	return unread
}
