// Package portalloc keeps loopback ports for stand-ins, for tests only. A port that was asked for stays bound as
// long as it is kept, so that no other process gets it while nobody listens: whoever connects then is
// refused, as on a machine whose process has ended.
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

// Port is one kept port. A process that binds with SO_REUSEADDR, as Go's listeners do, may listen on it.
type Port struct {
	Addr string

	mu      sync.Mutex
	fd      int
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

// bindSocket is a socket that is bound and doesn't listen.
func bindSocket(number int) (int, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, err
	}
	if err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err == nil {
		err = unix.Bind(fd, &unix.SockaddrInet4{Port: number, Addr: [4]byte{127, 0, 0, 1}})
	}
	if err != nil {
		return -1, errors.Join(err, unix.Close(fd))
	}
	return fd, nil
}

// Listen takes connections. While one listener is open, a second is an error.
func (p *Port) Listen() (on net.Listener, err error) {
	err = retryWhileInUse(func() error {
		on, err = (&net.ListenConfig{}).Listen(context.Background(), "tcp", p.Addr)
		return err
	})
	return on, err
}

// retryWhileInUse tries again for a while where a listener seems to stand there: one that was closed lives on in a
// process that is just being started, until that has begun its own program.
func retryWhileInUse(try func() error) (err error) {
	for range 100 {
		if err = try(); !errors.Is(err, unix.EADDRINUSE) {
			return err
		}
		time.Sleep(5 * time.Millisecond)
	}
	return err
}

// hangingListener is a listener whose queue is full: what connects gets no answer at all, as where a machine is cut off.
type hangingListener struct {
	file   *os.File
	filler net.Conn
}

// Hang has those who connect wait for nothing, until Free. Nobody may listen meanwhile.
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
	number, err := strconv.Atoi(text)
	if err != nil {
		return err
	}
	return retryWhileInUse(func() error {
		fd, err := bindSocket(number)
		if err != nil {
			return err
		}
		p.hanging = &hangingListener{file: os.NewFile(uintptr(fd), "hung")}
		if err = unix.Listen(fd, 0); err == nil {
			p.hanging.filler, err = net.Dial("tcp", p.Addr)
		}
		if err != nil {
			p.stopHanging()
		}
		return err
	})
}

// Refuse ends Hang: what connects is refused again.
func (p *Port) Refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopHanging()
}

func (p *Port) stopHanging() {
	if p.hanging == nil {
		return
	}
	p.hanging.file.Close()
	if p.hanging.filler != nil {
		p.hanging.filler.Close()
	}
	p.hanging = nil
}

// Close gives the port up.
func (p *Port) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopHanging()
	if p.fd < 0 {
		return nil
	}
	fd := p.fd
	p.fd = -1
	return unix.Close(fd)
}
