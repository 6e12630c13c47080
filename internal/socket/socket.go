// Package socket inspects TCP connections without consuming data from them.
package socket

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Inspect reports without waiting whether the connection is quiet, that is, open with nothing to read, and whether it
// is ended, that is, closed or reset by the peer. A connection also counts as ended if it was closed on this side or
// its read deadline has passed. Both results are false for a connection that isn't a socket.
func Inspect(c net.Conn) (quiet, ended bool) {
	tcp, ok := c.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false, true
	}
	var n int
	var peekErr error
	if err := raw.Read(func(fd uintptr) bool {
		n, peekErr = peek(fd)
		return true
	}); err != nil {
		return false, true
	}
	quiet = errors.Is(peekErr, syscall.EAGAIN)
	return quiet, !quiet && n <= 0
}

// WaitReadable waits until data can be read or the peer has closed the connection. It consumes no data. It fails as a
// read would if the read deadline passes or the connection is closed on this side.
func WaitReadable(c syscall.Conn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Read(func(fd uintptr) bool {
		_, err := peek(fd)
		return !errors.Is(err, syscall.EAGAIN)
	})
}

// HasUnread reports whether data has arrived that was not yet read. It also works while another goroutine is blocked in
// a read, and after the read deadline.
func HasUnread(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	n := 0
	return err == nil && raw.Control(func(fd uintptr) { n, _ = peek(fd) }) == nil && n > 0
}

// peek reads one byte without consuming it and without waiting.
func peek(fd uintptr) (int, error) {
	var buffer [1]byte
	n, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

// HasUnacknowledged reports whether sent data has not yet been acknowledged by the peer's TCP stack. It also works
// while other goroutines read and write. Data that isn't sent yet, such as while the peer's receive buffer is full,
// doesn't count.
func HasUnacknowledged(c net.Conn) bool {
	tcp, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	var queued, unsent int
	var ioctlErr error
	err = raw.Control(func(fd uintptr) {
		var queuedErr, unsentErr error
		queued, queuedErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		unsent, unsentErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQNSD)
		ioctlErr = errors.Join(queuedErr, unsentErr)
	})
	return errors.Join(err, ioctlErr) == nil && queued > unsent
}
