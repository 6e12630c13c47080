package serving

import (
	"bufio"
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestPlannedWork goes through what operators and the platform do to a system that serves, and one kill that it must
// not feel: that of an agent.
func TestPlannedWork(t *testing.T) {
	c := begin(t)
	for _, story := range []struct {
		name string
		play func(*cluster, *testing.T)
	}{
		{"calm traffic is served", calm},
		{"settings are read again under load", reload},
		{"a proxy is ended under load and starts again", rollProxy},
		{"a route is added and dropped", changeRoutes},
		{"an agent is killed and its proxy goes on", loseAgent},
		{"an endpoint leaves", leave},
		{"a client that leaves ends the work", clientLeaves},
	} {
		t.Run(story.name, func(t *testing.T) { story.play(c, t) })
		c.ledger.judge(t)
		if t.Failed() {
			return
		}
	}
}

func calm(c *cluster, _ *testing.T) {
	load := c.send()
	load.more(200)
	load.end()
}

func reload(c *cluster, _ *testing.T) {
	load := c.send()
	load.more(30)
	for _, n := range c.nodes() {
		n.lines = append(n.lines, "some.new_field=1")
		n.reload()
		load.more(10)
	}
	load.end()
	for _, n := range c.nodes() {
		require.True(c.t, n.process.IsRunning(), "%s on %s", n.program, n.name)
	}
}

func rollProxy(c *cluster, _ *testing.T) {
	load := c.send()
	load.more(30)
	ended := c.proxies[0]
	ended.terminate()
	load.more(30)
	ended.start()
	c.soon("the proxy is ready again", func() bool { return c.ready(ended) })
	before := c.ledger.servedBy(ended.at(portFront))
	c.soon("the proxy serves again", func() bool { return c.ledger.servedBy(ended.at(portFront)) > before })
	load.end()
}

func changeRoutes(c *cluster, _ *testing.T) {
	by := newHTTP()
	defer by.CloseIdleConnections()
	c.configure(c.version+2, "added")
	for _, n := range c.proxies {
		c.soon(n.name+" has the new route", func() bool {
			_, status := c.try(by, kindStock, "/added/x", n.at(portFront), c.unjudged(kindStock))
			return status == 200
		})
	}
	c.configure(c.version + 1)
	for _, n := range c.proxies {
		c.soon(n.name+" has dropped the route", func() bool {
			_, status := c.try(by, kindStock, "/added/x", n.at(portFront), c.unjudged(kindStock))
			return status == 404
		})
	}
}

// unjudged is an attempt of a request that asks what is in force: any answer is in order.
func (c *cluster) unjudged(k kind) string {
	attempt := newAttempt()
	c.ledger.open(attempt, k, "")
	return attempt
}

func loseAgent(c *cluster, t *testing.T) {
	proxy, agent := c.proxies[1], c.agents[1]
	by := newHTTP()
	defer by.CloseIdleConnections()
	agent.kill()
	mark := proxy.log.Offset()
	_, told := proxy.log.Await(0, within, []string{`"event":510`})
	assert.True(t, told, "the proxy misses its agent")
	for _, k := range append(kinds, kinds...) {
		assert.Equal(t, served, c.ask(by, k, "/"+k.name+"/x", proxy.at(portFront)))
	}
	c.configure(c.version+1, "meanwhile")
	agent.start()
	_, told = proxy.log.Await(mark, within, []string{`"event":511`})
	assert.True(t, told, "the proxy finds its agent again")
	c.soon("the proxy learns what it missed", func() bool {
		_, status := c.try(by, kindStock, "/meanwhile/x", proxy.at(portFront), c.unjudged(kindStock))
		return status == 200
	})
}

func leave(c *cluster, t *testing.T) {
	load := c.send()
	load.more(60)
	leaving := c.stocks[0]
	assert.NotEmpty(t, c.ledger.runsAfter(time.Time{}, leaving.ID))
	select {
	case <-leaving.AnnounceDraining():
	case <-time.After(within):
		require.Fail(t, "the closing was not acknowledged")
	}
	late := time.Now().Add(drain)
	c.soon("the drain is over", func() bool { return time.Now().After(late) })
	load.more(60)
	load.end()
	assert.Empty(t, c.ledger.runsAfter(late, leaving.ID), "sent to an endpoint that has left")
	ctx, cancel := context.WithTimeout(t.Context(), within)
	defer cancel()
	require.NoError(t, leaving.Shutdown(ctx))
	c.stocks[0] = c.startEndpoint(stockOptions(), stockNumber, places[0])
	c.soon("its successor is known everywhere", func() bool { return c.known(c.stocks[0].ID) })
}

// known tells whether all agents know an endpoint.
func (c *cluster) known(id string) bool {
	for _, n := range c.agents {
		report, answered := c.report(n)
		if !answered {
			return false
		}
		found := false
		for _, each := range report.Endpoints {
			found = found || each.ID == id
		}
		if !found {
			return false
		}
	}
	return true
}

func clientLeaves(c *cluster, t *testing.T) {
	by := newHTTP()
	defer by.CloseIdleConnections()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	attempt := c.unjudged(kindChat)
	request := newRequest(ctx, kindChat, "/chat/x", c.proxies[2].at(portFront), attempt, "body")
	request.Header.Set("X-Token-Count", "100,40000")
	response, err := by.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	line, err := bufio.NewReader(response.Body).ReadString('\n')
	require.NoError(t, err)
	assert.Equal(t, "id: 1", strings.TrimSpace(line))
	cancel()
	_, err = io.ReadAll(response.Body)
	require.Error(t, err)
	c.soon("the endpoint has ended the work", func() bool { return c.ledger.abandoned(attempt) })
}
