// Package portalloc reserves loopback ports for tests. A reserved port stays bound until it is closed, so that no other
// process gets it while nobody listens: connections are refused then, as on a machine whose process has ended.
package portalloc

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const closed = -1 // in place of a file descriptor

// fillTimeout is the wait for the connection that fills a queue. One without an answer by then never gets any.
const fillTimeout = 500 * time.Millisecond

// Port is a reserved port. A process that binds with SO_REUSEADDR, as Go's listeners do, may listen on it.
type Port struct {
	Addr string

	mu      sync.Mutex
	fd      int // of the socket that reserves the port
	hanging *hangingListener
}

// Reserve binds a free loopback port.
func Reserve() (*Port, error) {
	fd, err := bindSocket(0)
	if err != nil {
		return nil, err
	}
	name, err := unix.Getsockname(fd)
	if err != nil {
		return nil, errors.Join(err, unix.Close(fd))
	}
	return &Port{Addr: fmt.Sprintf("127.0.0.1:%d", name.(*unix.SockaddrInet4).Port), fd: fd}, nil
}

// bindSocket returns a socket that is bound to a loopback port and doesn't listen. Port 0 is any free one.
func bindSocket(port int) (int, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return closed, err
	}
	err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err == nil {
		err = unix.Bind(fd, &unix.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}})
	}
	if err != nil {
		return closed, errors.Join(err, unix.Close(fd))
	}
	return fd, nil
}

// Listen returns a listener on the port. A second one, while the first is open, is an error.
func (p *Port) Listen() (listener net.Listener, err error) {
	err = retryWhileInUse(func() error {
		listener, err = (&net.ListenConfig{}).Listen(context.Background(), "tcp", p.Addr)
		return err
	})
	return listener, err
}

// retryWhileInUse retries for a while if the address is in use: the descriptor of a listener that was closed lives on
// in a process that is being started, until that has executed its own program.
func retryWhileInUse(try func() error) (err error) {
	const attempts, delay = 100, 5 * time.Millisecond
	for range attempts {
		if err = try(); !errors.Is(err, unix.EADDRINUSE) {
			return err
		}
		time.Sleep(delay)
	}
	return err
}

// hangingListener is a listener whose queue is full: a connection to it gets no answer at all, as to a machine behind a
// partition.
type hangingListener struct {
	file   *os.File
	filler net.Conn // fills the queue; nil if another connection was faster
}

// fill fills the queue with a connection, unless another one has.
func (h *hangingListener) fill(address string) (err error) {
	dialer := &net.Dialer{Timeout: fillTimeout}
	h.filler, err = dialer.DialContext(context.Background(), "tcp", address)
	if os.IsTimeout(err) {
		return nil
	}
	return err
}

func (h *hangingListener) close() {
	_ = h.file.Close()
	if h.filler != nil {
		_ = h.filler.Close()
	}
}

// Hang leaves connections to the port without an answer, until Refuse. Nobody may listen on it meanwhile.
func (p *Port) Hang() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hanging != nil {
		return nil
	}
	_, text, err := net.SplitHostPort(p.Addr)
	if err != nil {
		return err
	}
	port, err := strconv.Atoi(text)
	if err != nil {
		return err
	}
	return retryWhileInUse(func() error {
		fd, err := bindSocket(port)
		if err != nil {
			return err
		}
		p.hanging = &hangingListener{file: os.NewFile(uintptr(fd), "hung")}
		if err = unix.Listen(fd, 0); err == nil {
			err = p.hanging.fill(p.Addr)
		}
		if err != nil {
			p.stopHanging()
		}
		return err
	})
}

// Refuse ends Hang: connections are refused again.
func (p *Port) Refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopHanging()
}

func (p *Port) stopHanging() {
	if p.hanging == nil {
		return
	}
	p.hanging.close()
	p.hanging = nil
}

// Close releases the port.
func (p *Port) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopHanging()
	if p.fd == closed {
		return nil
	}
	fd := p.fd
	p.fd = closed
	return unix.Close(fd)
}
