package session_test

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// link forwards the connections from one member to another. While it is cut, it resets open connections and refuses new
// ones.
type link struct {
	to       string
	listener net.Listener

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

func newLink(t testing.TB, to string) *link {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := &link{to: to, listener: listener, conns: map[net.Conn]bool{}}
	t.Cleanup(func() {
		_ = listener.Close()
		l.setCut(true)
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.forward(conn)
		}
	}()
	return l
}

// forward copies data in both directions until one end is closed. It may still be running when the test ends, until the
// cleanups have closed the connections.
func (l *link) forward(near net.Conn) {
	far, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", l.to)
	if err != nil || !l.add(near, far) {
		_ = near.Close()
		return
	}
	var copies sync.WaitGroup
	for _, pair := range [][2]net.Conn{{near, far}, {far, near}} {
		copies.Go(func() {
			_, _ = io.Copy(pair[0], pair[1]) // ends where either end is closed
			_ = near.Close()
			_ = far.Close()
		})
	}
	copies.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, near)
	delete(l.conns, far)
}

// add registers connections. If the link is cut, it closes them and returns false.
func (l *link) add(conns ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range conns {
		l.conns[conn] = true
		if l.cut {
			_ = conn.Close()
		}
	}
	return !l.cut
}

func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	for conn := range l.conns {
		if cut {
			_ = conn.Close()
		}
	}
}
