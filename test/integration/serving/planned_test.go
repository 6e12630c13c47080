package serving

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/metrics"
)

// TestPlannedWork runs the planned operations of operators and the platform, and one fault that must
// have no effect: the crash of an agent.
func TestPlannedWork(t *testing.T) {
	c := startCluster(t)
	for _, scenario := range []struct {
		name string
		run  func(*cluster, *testing.T)
	}{
		{"traffic is served", serveTraffic},
		{"each role publishes its figures", readMetrics},
		{"settings are reloaded under load", reloadSettings},
		{"a proxy is restarted gracefully under load", restartProxy},
		{"a route is added and dropped", changeRoutes},
		{"an agent is killed and its proxy continues", loseAgent},
		{"an endpoint drains", drainEndpoint},
		{"an endpoint deregisters without having closed", deregisterEndpoint},
		{"a disconnected client ends the work", disconnectClient},
	} {
		t.Run(scenario.name, func(t *testing.T) { scenario.run(c, t) })
		c.ledger.check(t)
		if t.Failed() {
			return
		}
	}
}

func serveTraffic(c *cluster, _ *testing.T) {
	load := c.startTraffic()
	load.awaitServed(200)
	load.stopAndCheck()
}

func readMetrics(c *cluster, t *testing.T) {
	for address, wanted := range map[string]string{
		c.proxies[0].address(portReady):  `rowan_proxy_responses_total{status="2xx"} `,
		c.agents[0].address(portMembers): `rowan_members{state="live"} 6`,
		c.cores[0].address(portMembers):  `rowan_endpoints{state="accepting"} `,
	} {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+metrics.Path, nil)
		require.NoError(t, err)
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		written, err := io.ReadAll(response.Body)
		_ = response.Body.Close() // it was read
		require.NoError(t, err)
		assert.Contains(t, string(written), "\n"+wanted)
		assert.Contains(t, string(written), `rowan_events_total{event="110"} 1`)
	}
}

func reloadSettings(c *cluster, _ *testing.T) {
	load := c.startTraffic()
	load.awaitServed(30)
	for _, n := range c.nodes() {
		n.settingsLines = append(n.settingsLines, "some.new_field=1")
		n.reload()
		load.awaitServed(10)
	}
	load.stopAndCheck()
	for _, n := range c.nodes() {
		require.True(c.t, n.process.IsRunning(), "%s on %s", n.program, n.name)
	}
}

func restartProxy(c *cluster, _ *testing.T) {
	load := c.startTraffic()
	load.awaitServed(30)
	ended := c.proxies[0]
	ended.terminate()
	load.awaitServed(30)
	ended.start()
	c.eventually("the proxy is ready again", func() bool { return c.isReady(ended) })
	before := c.ledger.countServedBy(ended.address(portClients))
	c.eventually("the proxy serves again", func() bool { return c.ledger.countServedBy(ended.address(portClients)) > before })
	load.stopAndCheck()
}

func changeRoutes(c *cluster, _ *testing.T) {
	by := newHTTPClient()
	defer by.CloseIdleConnections()
	c.configure(c.version+2, "added")
	for _, n := range c.proxies {
		c.eventually(n.name+" has the new route", func() bool {
			_, status := c.sendRequest(c.t.Context(), by, kindStock, "/added/x", n.address(portClients), c.openAttempt(kindStock))
			return status == 200
		})
	}
	c.configure(c.version + 1)
	for _, n := range c.proxies {
		c.eventually(n.name+" has dropped the route", func() bool {
			_, status := c.sendRequest(c.t.Context(), by, kindStock, "/added/x", n.address(portClients), c.openAttempt(kindStock))
			return status == 404
		})
	}
}

// openAttempt returns the ID of an attempt for which any response is valid.
func (c *cluster) openAttempt(k requestKind) string {
	attempt := newAttemptID()
	c.ledger.startAttempt(attempt, k, "")
	return attempt
}

func loseAgent(c *cluster, t *testing.T) {
	proxy, agent := c.proxies[1], c.agents[1]
	by := newHTTPClient()
	defer by.CloseIdleConnections()
	agent.kill()
	offset := proxy.log.Offset()
	_, found := proxy.log.Await(0, waitTimeout, []string{`"event":510`})
	assert.True(t, found, "the proxy detects the loss of its agent")
	for _, k := range append(requestKinds, requestKinds...) {
		assert.Equal(t, served, c.sendAttempt(c.t.Context(), by, k, "/"+k.name+"/x", proxy.address(portClients)))
	}
	c.configure(c.version+1, "meanwhile")
	agent.start()
	_, found = proxy.log.Await(offset, waitTimeout, []string{`"event":511`})
	assert.True(t, found, "the proxy reconnects to its agent")
	c.eventually("the proxy receives the missed configuration", func() bool {
		_, status := c.sendRequest(c.t.Context(), by, kindStock, "/meanwhile/x", proxy.address(portClients), c.openAttempt(kindStock))
		return status == 200
	})
}

func drainEndpoint(c *cluster, t *testing.T) {
	load := c.startTraffic()
	load.awaitServed(60)
	leaving := c.stocks[0]
	assert.NotEmpty(t, c.ledger.runsAfter(time.Time{}, leaving.ID))
	select {
	case <-leaving.AnnounceDraining():
	case <-time.After(waitTimeout):
		require.Fail(t, "the closing was not acknowledged")
	}
	late := time.Now().Add(drainTime)
	c.eventually("the drain is over", func() bool { return time.Now().After(late) })
	load.awaitServed(60)
	load.stopAndCheck()
	assert.Empty(t, c.ledger.runsAfter(late, leaving.ID), "sent to an endpoint that has left")
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	require.NoError(t, leaving.Shutdown(ctx))
	c.stocks[0] = c.startEndpoint(stockOptions(), firstStockNumber, locations[0])
	c.eventually("its successor is known everywhere", func() bool { return c.knowEndpoint(c.stocks[0].ID) })
}

// knowEndpoint reports whether all agents know an endpoint.
func (c *cluster) knowEndpoint(id string) bool {
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

// deregisterEndpoint has an endpoint deregister without having reported that it is closing. It serves what it has and a
// little longer; nothing is lost, and nothing new reaches it after the drain time.
func deregisterEndpoint(c *cluster, t *testing.T) {
	load := c.startTraffic()
	load.awaitServed(60)
	leaving := c.writers[0]
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	require.NoError(t, leaving.Deregister(ctx))
	late := time.Now().Add(drainTime)
	c.eventually("the drain is over", func() bool { return time.Now().After(late) })
	load.awaitServed(60)
	load.stopAndCheck()
	assert.Empty(t, c.ledger.runsAfter(late, leaving.ID), "sent to an endpoint that has left")
	leaving.Close()
	c.writers[0] = c.startEndpoint(writerOptions(), firstWriterNumber, locations[0])
	c.eventually("its successor is known everywhere", func() bool { return c.knowEndpoint(c.writers[0].ID) })
}

func disconnectClient(c *cluster, t *testing.T) {
	by := newHTTPClient()
	defer by.CloseIdleConnections()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	attempt := c.openAttempt(kindChat)
	request := newRequest(ctx, kindChat, "/chat/x", c.proxies[2].address(portClients), attempt, "body")
	request.Header.Set("X-Token-Count", "100,40000")
	response, err := by.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	line, err := bufio.NewReader(response.Body).ReadString('\n')
	require.NoError(t, err)
	assert.Equal(t, "id: 1", strings.TrimSpace(line))
	cancel()
	_, err = io.ReadAll(response.Body)
	require.Error(t, err)
	c.eventually("the endpoint has ended the work", func() bool { return c.ledger.wasAbandoned(attempt) })
}
