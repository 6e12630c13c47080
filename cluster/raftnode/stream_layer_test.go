package raftnode

import (
	"net"
	"os"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/require"

	"rowanlink/cluster"
)

// A connection for a server that lost its folder is not accepted by the server that replaced it.
func TestStreamLayer_AcceptsOnlyConnectionsForThisServer(t *testing.T) {
	listener := listen(t)
	called := newStreamLayer(listener, "f", "m1/new", time.Second)
	defer func() { _ = called.Close() }()
	received := make(chan string, 10)
	go func() {
		for {
			conn, err := called.Accept()
			if err != nil {
				return
			}
			buffer := make([]byte, 10)
			n, _ := conn.Read(buffer)
			received <- string(buffer[:n])
		}
	}()
	caller := newStreamLayer(&net.TCPListener{}, "f", "m2/x", time.Second)
	caller.setAddresses(map[cluster.MemberID]string{"m1": listener.Addr().String()})
	for _, to := range []raft.ServerAddress{"m1/old", "m1/new"} {
		conn, err := caller.Dial(to, time.Second)
		require.NoError(t, err)
		_, _ = conn.Write([]byte("to " + to)) // the other side may have closed it
		if to == "m1/old" {
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(waitTimeout)))
			_, err = conn.Read(make([]byte, 1))
			require.Error(t, err)
			require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
		}
	}
	require.Equal(t, "to m1/new", <-received)
	_, err := caller.Dial("m9/1", time.Second)
	require.Error(t, err)
}
