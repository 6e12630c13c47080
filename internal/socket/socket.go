// Package socket inspects TCP connections without consuming data from them.
package socket

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Inspect reports, without waiting, whether the connection is open with nothing to read, and whether the other side
// has closed or reset it.
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
	var last error
	if err := raw.Read(func(fd uintptr) bool {
		n, last = peek(fd)
		return true
	}); err != nil {
		return false, true
	}
	quiet = errors.Is(last, syscall.EAGAIN)
	return quiet, !quiet && n <= 0
}

// WaitReadable waits until data can be read or the other side has closed the connection, and consumes nothing. It
// fails as a read would: if the read deadline has passed or the connection is closed on this side.
func WaitReadable(c syscall.Conn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Read(func(fd uintptr) bool {
		_, last := peek(fd)
		return !errors.Is(last, syscall.EAGAIN)
	})
}

// HasUnread reports whether data has arrived that was not read, also while another goroutine waits in a read and after
// the read deadline.
func HasUnread(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	n := 0
	return err == nil && raw.Control(func(fd uintptr) { n, _ = peek(fd) }) == nil && n > 0
}

// peek reads a byte without consuming it or waiting.
func peek(fd uintptr) (int, error) {
	var one [1]byte
	n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

// HasUnacknowledged reports whether data that was sent has not been acknowledged by the other side's machine, also
// while other goroutines read and write. Data that waits because the other side does not read doesn't count.
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
	var failed error
	err = raw.Control(func(fd uintptr) {
		var first, second error
		queued, first = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		unsent, second = unix.IoctlGetInt(int(fd), unix.SIOCOUTQNSD)
		failed = errors.Join(first, second)
	})
	return errors.Join(err, failed) == nil && queued > unsent
}
