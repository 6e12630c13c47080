// Package socket looks at a connection without waiting.
package socket

import (
	"errors"
	"net"
	"syscall"
)

// Look tells whether nothing waits to be read on a connection that is still up, and whether the other side
// has ended it.
func Look(c net.Conn) (quiet, ended bool) {
	tcp, ok := c.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false, true
	}
	var n int
	var peek error
	var one [1]byte
	if err := raw.Read(func(fd uintptr) bool {
		n, _, peek = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	}); err != nil {
		return false, true
	}
	quiet = errors.Is(peek, syscall.EAGAIN)
	return quiet, !quiet && n <= 0
}
