package serving

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"rowanlink/serving/delivery"
	"rowanlink/test/fake/endpoint"
)

const (
	// departureHeartbeatInterval is so long that missing heartbeats count well after contactTime.
	departureHeartbeatInterval = 1500 * time.Millisecond
	// contactTime is how long after the last restart of a core all machines are in touch again.
	contactTime = 4 * time.Second
	// observedTime is how long an endpoint that has left is observed from then on.
	observedTime = 4 * time.Second
	// outageTime is how long all cores are down.
	outageTime = 500 * time.Millisecond
	// lockedTime is how long disks stay locked; the endpoint's missing heartbeats count only after it.
	lockedTime = 7 * time.Second
	// sqliteLockStart and sqliteLockLength are the bytes of a file that SQLite locks, from PENDING_BYTE on.
	sqliteLockStart  = 0x40000000
	sqliteLockLength = 512
	// lateHeartbeatDelay is how long after a departure the first late heartbeat arrives.
	lateHeartbeatDelay = 11 * time.Second
	// firstLeavingNumber plus the index of the scenario is the number of the endpoint that leaves.
	firstLeavingNumber = 51
)

// TestDeparture_SurvivesRestartsOfAllCores guards against the loss of an acknowledged departure that was held in memory
// only: requests reached the endpoint again until its heartbeats counted as missing.
func TestDeparture_SurvivesRestartsOfAllCores(t *testing.T) {
	c := startClusterWithHeartbeats(t, func(string, int) string { return "" }, departureHeartbeatInterval)
	for i, scenario := range []struct {
		name   string
		leave  func(*endpoint.Endpoint, context.Context) error
		before func(*cluster) // the departure
		after  func(*cluster) // it was acknowledged
	}{
		{"deregistration, one restart", (*endpoint.Endpoint).Deregister, func(*cluster) {}, restartAllCores},
		{"report of draining, one restart", drainSilently, func(*cluster) {}, restartAllCores},
		{"deregistration, killed again after the restart", (*endpoint.Endpoint).Deregister, func(*cluster) {},
			restartAllCoresTwice},
		{"deregistration while one core is down that returns with an older disk", (*endpoint.Endpoint).Deregister,
			killFirstCore, restartAllCores},
		{"deregistration, the disks can't be read for a while after the restart", (*endpoint.Endpoint).Deregister,
			func(*cluster) {}, restartAllCoresWithLockedDisks},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			leaving := c.startEndpoint(stockOptions(), firstLeavingNumber+i, locations[i%len(locations)])
			defer leaving.Close()
			load := c.startTraffic()
			c.eventually("the endpoint serves", func() bool {
				return len(c.ledger.runsAfter(time.Time{}, leaving.ID)) > 0
			})
			time.Sleep(2 * time.Second) // the saved copy of the endpoints has it as accepting
			scenario.before(c)
			ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
			defer cancel()
			require.NoError(t, scenario.leave(leaving, ctx))
			acknowledged := time.Now()
			scenario.after(c)
			judged := time.Now().Add(contactTime)
			if drained := acknowledged.Add(drainTime); drained.After(judged) {
				judged = drained
			}
			time.Sleep(time.Until(judged.Add(observedTime)))
			load.stopAndCheck()
			assert.Empty(t, c.ledger.runsAfter(judged, leaving.ID), "requests reached the endpoint")
			leaving.Close()
			c.requireSuccessorServes(leaving.ID, firstLeavingNumber+i-i%2, locations[i%len(locations)])
		})
		c.ledger.check(t)
	}
}

// TestDeparture_HoldsWhileNoCoreRuns guards against an acknowledged departure that only the cores knew of: while they were
// down, the proxies went on sending to the endpoint.
func TestDeparture_HoldsWhileNoCoreRuns(t *testing.T) {
	c := startCluster(t)
	c.awaitMembers()
	for i, scenario := range []struct {
		name   string
		leave  func(*endpoint.Endpoint, context.Context) error
		before func(*cluster) // the departure
	}{
		{"deregistration", (*endpoint.Endpoint).Deregister, func(*cluster) {}},
		{"report of draining", drainSilently, func(*cluster) {}},
		{"deregistration right after a restart of all cores", (*endpoint.Endpoint).Deregister, restartAllCores},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			leaving := c.startEndpoint(stockOptions(), firstLeavingNumber+i, locations[i%len(locations)])
			defer leaving.Close()
			load := c.startTraffic()
			c.eventually("the endpoint serves", func() bool {
				return len(c.ledger.runsAfter(time.Time{}, leaving.ID)) > 0
			})
			scenario.before(c)
			ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
			defer cancel()
			c.eventually("the departure is acknowledged", func() bool { return scenario.leave(leaving, ctx) == nil })
			acknowledged := time.Now()
			c.killAllCoresAtOnce()
			time.Sleep(time.Until(acknowledged.Add(drainTime + observedTime)))
			load.stopAndCheck()
			assert.Empty(t, c.ledger.runsAfter(acknowledged.Add(drainTime), leaving.ID), "requests reached the endpoint")
			c.startAllCores()
		})
		c.ledger.check(t)
	}
}

// startAllCores starts the cores and waits until each knows all machines.
func (c *cluster) startAllCores() {
	for _, n := range c.cores {
		n.start()
	}
	c.awaitMembers()
}

// awaitMembers waits until each core knows all machines.
func (c *cluster) awaitMembers() {
	for _, n := range c.cores {
		c.eventually(n.name+" knows all machines", func() bool {
			report, answered := c.report(n)
			return answered && len(report.Members) == len(c.cores)+len(c.agents)
		})
	}
}

// TestDeparture_StoppedProxyDelaysNoAcknowledgement: a departure is acknowledged within the second that an endpoint waits
// beside a proxy that is suspended, also by cores that have just started, and the following ones aren't delayed by it.
func TestDeparture_StoppedProxyDelaysNoAcknowledgement(t *testing.T) {
	c := startCluster(t)
	c.awaitMembers()
	c.stop(c.proxies[0])
	defer func() { require.NoError(t, c.proxies[0].process.Signal(syscall.SIGCONT)) }()
	for i := range 2 {
		begun := time.Now()
		assert.Equal(t, http.StatusOK, c.deregisterAt(c.cores[0], fmt.Sprintf("joining-%d", i)))
		assert.Less(t, time.Since(begun), time.Second, "departure %d while the cores join", i)
	}
	time.Sleep(delivery.JoinTime)
	for i, longest := range []time.Duration{time.Second, 200 * time.Millisecond, 200 * time.Millisecond} {
		begun := time.Now()
		status := c.deregisterAt(c.cores[0], fmt.Sprintf("beside-%d", i))
		assert.Equal(t, http.StatusOK, status)
		assert.Less(t, time.Since(begun), longest, "departure %d", i)
	}
}

// TestDeparture_LateHeartbeats guards against heartbeats that an endpoint sent before its departure and that arrive long
// after it: they were taken for those of a new process under its ID, and it got requests again.
func TestDeparture_LateHeartbeats(t *testing.T) {
	c := startCluster(t)
	leaving := c.startEndpoint(stockOptions(), firstLeavingNumber, locations[0])
	defer leaving.Close()
	load := c.startTraffic()
	c.eventually("the endpoint serves", func() bool { return len(c.ledger.runsAfter(time.Time{}, leaving.ID)) > 0 })
	time.Sleep(3 * heartbeatInterval) // it has counted on
	require.NoError(t, leaving.Deregister(t.Context()))
	acknowledged := time.Now()
	time.Sleep(lateHeartbeatDelay)
	for sequence := 1; sequence <= 3; sequence++ {
		c.sendLateHeartbeat(leaving, sequence)
		time.Sleep(heartbeatInterval)
	}
	time.Sleep(observedTime)
	load.stopAndCheck()
	assert.Empty(t, c.ledger.runsAfter(acknowledged.Add(drainTime), leaving.ID), "requests reached the endpoint")
	leaving.Close()
	c.requireSuccessorServes(leaving.ID, firstLeavingNumber, locations[0])
	c.ledger.check(t)
}

// sendLateHeartbeat sends a heartbeat as an endpoint sent it before it departed.
func (c *cluster) sendLateHeartbeat(e *endpoint.Endpoint, sequence int) {
	body := fmt.Sprintf(`{"carrier":"stock","address":%q,"zone":%q,"edition":"v1","berths":6,"state":"accepting","call_seq":%d}`,
		e.Address(), locations[0].zone, sequence)
	path := fmt.Sprintf("http://%s/Endpoints.Beat/%s", c.cores[0].address(portControl), e.ID)
	request, err := http.NewRequestWithContext(c.t.Context(), http.MethodPost, path, strings.NewReader(body))
	require.NoError(c.t, err)
	client := newHTTPClient()
	defer client.CloseIdleConnections()
	response, err := client.Do(request)
	require.NoError(c.t, err)
	_ = response.Body.Close() // only the status counts
	require.Equal(c.t, http.StatusOK, response.StatusCode)
}

// deregisterAt deregisters an endpoint at a core and returns the status.
func (c *cluster) deregisterAt(core *node, id string) int {
	path := fmt.Sprintf("http://%s/Endpoints.SignOff/%s", core.address(portControl), id)
	request, err := http.NewRequestWithContext(c.t.Context(), http.MethodPost, path, nil)
	require.NoError(c.t, err)
	client := newHTTPClient()
	defer client.CloseIdleConnections()
	response, err := client.Do(request)
	require.NoError(c.t, err)
	_ = response.Body.Close() // only the status counts
	return response.StatusCode
}

// killAllCoresAtOnce sends SIGKILL to all cores before it waits for the first end.
func (c *cluster) killAllCoresAtOnce() {
	for _, n := range c.cores {
		require.NoError(c.t, n.process.Signal(syscall.SIGKILL))
	}
	for _, n := range c.cores {
		require.True(c.t, n.process.AwaitExit(exitTimeout), "%s can't be killed", n.name)
	}
}

// requireSuccessorServes checks that a new process under the ID of an endpoint that has left gets requests.
func (c *cluster) requireSuccessorServes(id string, number int, at location) {
	c.t.Helper()
	options := stockOptions()
	options.ID = id
	started := time.Now()
	successor := c.startEndpoint(options, number, at)
	defer successor.Close()
	load := c.startTraffic()
	c.eventually("the successor serves", func() bool { return len(c.ledger.runsAfter(started, id)) > 0 })
	load.stopAndCheck()
	c.t.Logf("the successor served after %v", time.Since(started))
}

// TestDeparture_ManyWithinASecond: 1,000 endpoints that leave within a second are acknowledged within a second each.
func TestDeparture_ManyWithinASecond(t *testing.T) {
	const leaving = 1000
	c := startCluster(t)
	client := newHTTPClient()
	defer client.CloseIdleConnections()
	var calls sync.WaitGroup
	times := make([]time.Duration, leaving)
	for i := range leaving {
		calls.Go(func() {
			begun := time.Now()
			address := c.cores[i%len(c.cores)].address(portControl)
			path := fmt.Sprintf("http://%s/Endpoints.SignOff/many-%d", address, i)
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, path, nil)
			require.NoError(t, err)
			response, err := client.Do(request)
			if assert.NoError(t, err) {
				assert.Equal(t, http.StatusOK, response.StatusCode)
				_ = response.Body.Close() // only the status counts
			}
			times[i] = time.Since(begun)
		})
		time.Sleep(time.Second / leaving)
	}
	calls.Wait()
	slices.Sort(times)
	assert.Less(t, times[leaving-1], time.Second)
	t.Logf("median %v, 99th percentile %v, longest %v", times[leaving/2], times[leaving*99/100], times[leaving-1])
}

// TestDeparture_FullDisksConfirmNothing: an endpoint that leaves is acknowledged beside one full disk of three, and
// not beside two, until they have room again.
func TestDeparture_FullDisksConfirmNothing(t *testing.T) {
	c := startCluster(t)
	c.cores[0].limitFileSize(0)
	require.NoError(t, c.stocks[0].Deregister(t.Context()))
	c.cores[1].limitFileSize(0)
	for range 3 {
		require.Error(t, c.stocks[1].Deregister(t.Context()))
	}
	c.cores[0].limitFileSize(unix.RLIM_INFINITY)
	c.eventually("the departure is acknowledged", func() bool { return c.stocks[1].Deregister(t.Context()) == nil })
}

// drainSilently reports that the endpoint is closing and ends its heartbeats once that was acknowledged.
func drainSilently(e *endpoint.Endpoint, ctx context.Context) error { //nolint:revive // the order of a method expression
	select {
	case <-e.AnnounceDraining():
		e.StopHeartbeats()
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func killFirstCore(c *cluster) { c.cores[0].kill() }

// restartAllCores kills the cores that run and starts all after outageTime.
func restartAllCores(c *cluster) {
	for _, n := range c.cores {
		if n.process.IsRunning() {
			n.kill()
		}
	}
	time.Sleep(outageTime)
	for _, n := range c.cores {
		n.start()
	}
}

// restartAllCoresWithLockedDisks restarts all cores while the locks of the killed processes last on, as on some shared
// file systems: the disks can't be read for lockedTime.
func restartAllCoresWithLockedDisks(c *cluster) {
	c.killAllCoresAtOnce()
	for _, n := range c.cores {
		files, err := filepath.Glob(filepath.Join(n.store, "*.db"))
		require.NoError(c.t, err)
		require.NotEmpty(c.t, files)
		for _, file := range files {
			c.lockDatabase(file)
		}
	}
	for _, n := range c.cores {
		n.start()
	}
}

// lockDatabase locks an SQLite file for lockedTime, as another process that writes to it does.
func (c *cluster) lockDatabase(path string) {
	file, err := os.OpenFile(path, os.O_RDWR, 0)
	require.NoError(c.t, err)
	lock := unix.Flock_t{Type: unix.F_WRLCK, Start: sqliteLockStart, Len: sqliteLockLength}
	require.NoError(c.t, unix.FcntlFlock(file.Fd(), unix.F_SETLK, &lock))
	unlock := time.AfterFunc(lockedTime, func() { _ = file.Close() }) // the lock ends with it
	c.t.Cleanup(func() {
		if unlock.Stop() {
			_ = file.Close()
		}
	})
}

func restartAllCoresTwice(c *cluster) {
	restartAllCores(c)
	time.Sleep(300 * time.Millisecond)
	restartAllCores(c)
}
