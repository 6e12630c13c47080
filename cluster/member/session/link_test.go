package session_test

import (
	"io"
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// link is one address that somebody has for another: cut, it refuses and resets.
type link struct {
	to  string
	on  net.Listener
	mu  sync.Mutex
	cut bool
	all map[net.Conn]bool
}

func newLink(t testing.TB, to string) *link {
	on, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := &link{to: to, on: on, all: map[net.Conn]bool{}}
	t.Cleanup(func() { on.Close(); l.set(true) })
	go func() {
		for {
			c, err := on.Accept()
			if err != nil {
				return
			}
			go l.join(c)
		}
	}()
	return l
}

func (l *link) join(c net.Conn) {
	far, err := net.Dial("tcp", l.to)
	if err != nil || !l.add(c, far) {
		c.Close()
		return
	}
	var both sync.WaitGroup
	for _, pair := range [][2]net.Conn{{c, far}, {far, c}} {
		both.Go(func() {
			io.Copy(pair[0], pair[1])
			c.Close()
			far.Close()
		})
	}
	both.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.all, c)
	delete(l.all, far)
}

func (l *link) add(all ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range all {
		if l.all[c] = true; l.cut {
			c.Close()
		}
	}
	return !l.cut
}

func (l *link) set(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	for c := range l.all {
		if cut {
			c.Close()
		}
	}
}
