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

	mu   sync.Mutex
	kept int
	hung *hung
}

// Keep binds a free loopback port.
func Keep() (*Port, error) {
	fd, err := bound(0)
	if err != nil {
		return nil, err
	}
	name, err := unix.Getsockname(fd)
	if err != nil {
		return nil, errors.Join(err, unix.Close(fd))
	}
	return &Port{Addr: fmt.Sprintf("127.0.0.1:%d", name.(*unix.SockaddrInet4).Port), kept: fd}, nil
}

// bound is a socket that is bound and doesn't listen.
func bound(number int) (int, error) {
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
	err = patient(func() error {
		on, err = (&net.ListenConfig{}).Listen(context.Background(), "tcp", p.Addr)
		return err
	})
	return on, err
}

// patient tries again for a while where a listener seems to stand there: one that was closed lives on in a
// process that is just being started, until that has begun its own program.
func patient(try func() error) (err error) {
	for range 100 {
		if err = try(); !errors.Is(err, unix.EADDRINUSE) {
			return err
		}
		time.Sleep(5 * time.Millisecond)
	}
	return err
}

// hung is a listener whose queue is full: what connects gets no answer at all, as where a machine is cut off.
type hung struct {
	on     *os.File
	filler net.Conn
}

// Hang has those who connect wait for nothing, until Free. Nobody may listen meanwhile.
func (p *Port) Hang() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hung != nil {
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
	return patient(func() error {
		fd, err := bound(number)
		if err != nil {
			return err
		}
		p.hung = &hung{on: os.NewFile(uintptr(fd), "hung")}
		if err = unix.Listen(fd, 0); err == nil {
			p.hung.filler, err = net.Dial("tcp", p.Addr)
		}
		if err != nil {
			p.free()
		}
		return err
	})
}

// Free ends Hang: what connects is refused again.
func (p *Port) Free() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.free()
}

func (p *Port) free() {
	if p.hung == nil {
		return
	}
	p.hung.on.Close()
	if p.hung.filler != nil {
		p.hung.filler.Close()
	}
	p.hung = nil
}

// Close gives the port up.
func (p *Port) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.free()
	if p.kept < 0 {
		return nil
	}
	fd := p.kept
	p.kept = -1
	return unix.Close(fd)
}
