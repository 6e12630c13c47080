package e2e_test

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// dialClients opens connections, each of which has served one webhook.
func (env *environment) dialClients(n int) []*clientConn {
	env.t.Helper()
	var conns []*clientConn
	for i := range n {
		conn, err := env.dialClient()
		require.NoError(env.t, err)
		_, err = conn.submit(fmt.Sprint("before", i))
		require.NoError(env.t, err)
		conns = append(conns, conn)
	}
	return conns
}

// Guards against a process that exits while clients still have connections: requests that they have sent would be lost.
func TestAfterSIGTERMEachRequestOnAnOpenConnectionIsAnswered(t *testing.T) {
	env := startEnvironment(t, "token")
	conns := env.dialClients(140) // fewer than the limit of idle connections
	env.eventually("nothing is pending", env.hasMetric("rowanlink_attempts_delivered_total 140"))
	tally := newSubmissionTally()
	var clients sync.WaitGroup
	env.signal(syscall.SIGTERM)
	terminated := time.Now()
	for i, conn := range conns {
		clients.Go(func() {
			time.Sleep(time.Until(terminated.Add(time.Duration(400+i*10) * time.Millisecond)))
			tally.submit(env, conn, fmt.Sprint("kept", i))
		})
	}
	for i := range 5 { // new clients connect meanwhile
		clients.Go(func() {
			time.Sleep(time.Until(terminated.Add(time.Duration(20+i*50) * time.Millisecond)))
			conn, err := env.dialClient()
			if assert.NoError(t, err) {
				tally.submit(env, conn, fmt.Sprint("new", i))
			}
		})
	}
	time.Sleep(450 * time.Millisecond) // shortly before the last pending webhook is finished
	env.suspendFor(200 * time.Millisecond)
	clients.Wait()
	assert.NoError(t, env.process.Wait())
	t.Log(tally)
	assert.Zero(t, tally.lost, "a complete request was not answered")
	assert.Zero(t, tally.keptOpen, "each answer closes its connection")
	assert.Equal(t, tally.submitted, tally.answers[202]+tally.answers[503], "accepted or rejected, nothing else")
	assert.Greater(t, tally.answers[503], 60, "open connections are served to the end")
}

// Guards against an idle connection that is closed although a request has arrived on it and was not read yet.
func TestIdleConnectionWithAnUnreadRequestIsNotClosed(t *testing.T) {
	env := startEnvironment(t, "token")
	conns := env.dialClients(30)
	time.Sleep(1700 * time.Millisecond) // idle connections may be closed after 2 s
	tally := newSubmissionTally()
	var clients sync.WaitGroup
	for i, conn := range conns {
		clients.Go(func() {
			time.Sleep(50 * time.Millisecond)
			tally.submit(env, conn, fmt.Sprint("again", i))
		})
	}
	env.suspendFor(500 * time.Millisecond)
	clients.Wait()
	t.Log(tally)
	assert.NotZero(t, tally.submitted, "on a busy machine some connections were closed before they were used")
	assert.Zero(t, tally.retried+tally.lost)
}
