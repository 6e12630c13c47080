package serving

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	// clientTimeout is how long a client waits for one request, over all attempts.
	clientTimeout = 30 * time.Second
	// requestInterval is the time between two requests of a client.
	requestInterval = 20 * time.Millisecond
	// lookupTimeout bounds a directory look-up.
	lookupTimeout = time.Second
	clients       = 6
)

// attemptCounter counts all attempts of this process; their IDs derive from it.
var attemptCounter atomic.Uint64

// traffic is a set of clients that send one request after another.
type traffic struct {
	c       *cluster
	stop    context.CancelFunc
	clients sync.WaitGroup
	done    atomic.Int64
	failed  atomic.Int64
	client  *http.Client
}

// startTraffic starts traffic, to the proxies that the directories name.
func (c *cluster) startTraffic() *traffic {
	ctx, stop := context.WithCancel(context.Background())
	tr := &traffic{c: c, stop: stop, client: newHTTPClient()}
	for i := range clients {
		tr.clients.Go(func() { tr.runClient(ctx, i) })
	}
	return tr
}

func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: clients,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
}

// stopAndCheck stops the clients after their current requests. Each request must have been served.
func (tr *traffic) stopAndCheck() {
	tr.c.t.Helper()
	tr.stop()
	tr.clients.Wait()
	tr.client.CloseIdleConnections()
	assert.Zero(tr.c.t, tr.failed.Load(), "requests without a response; attempts broken: %d, failed: %d",
		tr.c.ledger.countResult(broken), tr.c.ledger.countResult(failed))
}

// awaitServed waits until so many more requests are served.
func (tr *traffic) awaitServed(n int64) {
	tr.c.t.Helper()
	target := tr.done.Load() + n
	tr.c.eventually(fmt.Sprintf("%d requests more are served", n), func() bool { return tr.done.Load() >= target })
}

// runClient runs one client.
func (tr *traffic) runClient(ctx context.Context, number int) {
	ticker := time.NewTicker(requestInterval)
	defer ticker.Stop()
	for i := number; ; i++ {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		// The end of the traffic doesn't interrupt a request.
		if tr.serve(context.WithoutCancel(ctx), requestKinds[i%len(requestKinds)], number) {
			tr.done.Add(1)
		} else {
			tr.failed.Add(1)
		}
	}
}

// serve sends a request, and retries it as the protocol allows, until it is served or times out.
func (tr *traffic) serve(ctx context.Context, k requestKind, number int) bool {
	deadline := time.Now().Add(clientTimeout)
	for round := 0; time.Now().Before(deadline); round++ {
		agent := tr.c.agents[(number+round)%len(tr.c.agents)]
		addresses := lookup(ctx, agent.address(portDirectory), locations[number%len(locations)])
		if len(addresses) == 0 {
			time.Sleep(requestInterval)
			continue
		}
		result := tr.c.sendAttempt(ctx, tr.client, k, "/"+k.name+"/x", addresses[(number+round)%len(addresses)])
		switch {
		case result == served:
			return true
		case result == rejected, result == notConnected, k.idempotent:
			time.Sleep(requestInterval)
		default: // it may not be retried; the ledger decides whether it was lost
			return result == broken
		}
	}
	return false
}

// newAttemptID returns the ID of a new attempt.
func newAttemptID() string { return fmt.Sprintf("t%x", attemptCounter.Add(1)) }

// sendAttempt makes one attempt at a proxy, records it and returns how it ended.
func (c *cluster) sendAttempt(ctx context.Context, client *http.Client, k requestKind, path, proxy string) attemptResult {
	attempt := newAttemptID()
	c.ledger.startAttempt(attempt, k, proxy)
	result, status := c.sendRequest(ctx, client, k, path, proxy, attempt)
	c.ledger.finishAttempt(attempt, result, status)
	return result
}

// sendRequest sends a request and returns how it ended, and the status of the response; zero: there was none.
func (c *cluster) sendRequest(
	ctx context.Context, client *http.Client, k requestKind, path, proxy, attempt string,
) (result attemptResult, status int) {
	body := "body of " + attempt
	request := newRequest(ctx, k, path, proxy, attempt, body)
	response, err := client.Do(request)
	if err != nil {
		return resultOfError(err), 0
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	switch status := response.StatusCode; {
	case err != nil:
		return broken, status
	case status == http.StatusOK:
		c.checkResponse(k, path, attempt, body, response, string(answer))
		return served, status
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests,
		status == http.StatusRequestTimeout, status == http.StatusMisdirectedRequest:
		return rejected, status
	default:
		return failed, status
	}
}

// newRequest returns a client's request.
func newRequest(ctx context.Context, k requestKind, path, proxy, attempt, body string) *http.Request {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+proxy+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Host = host
	request.Header.Set("X-Attempt-Id", attempt)
	request.Header.Set("X-Time-Left", strconv.FormatInt(clientTimeout.Milliseconds(), 10))
	if k.stream {
		request.Header.Set("X-Model", "m")
		request.Header.Set("X-Token-Count", tokenCount)
		request.Header.Set("X-Prompt-Prefix", "5c1e:60,"+attempt[1:]+":40")
	}
	return request
}

// resultOfError distinguishes a connection that was not established from one that broke.
func resultOfError(err error) attemptResult {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return notConnected
	}
	return broken
}

// checkResponse fails the test if a response is not the endpoint's own one to this request.
func (c *cluster) checkResponse(k requestKind, path, attempt, body string, response *http.Response, answer string) {
	header := response.Header
	assert.Equal(c.t, attempt, header.Get("X-Attempt-Id"))
	assert.True(c.t, strings.HasSuffix(header.Get("X-Postmark"), "."+attempt), header.Get("X-Postmark"))
	if k.stream {
		checkEvents(c.t, answer)
		return
	}
	want := fmt.Sprintf("%s answers POST %s, body %x\n", k.service, path, sha256.Sum256([]byte(body)))
	assert.Equal(c.t, want, answer)
}

// checkEvents fails the test unless all events arrived once and in order.
func checkEvents(t *testing.T, answer string) {
	next := 1
	for lines := bufio.NewScanner(strings.NewReader(answer)); lines.Scan(); {
		if id, found := strings.CutPrefix(lines.Text(), "id: "); found {
			assert.Equal(t, strconv.Itoa(next), id)
			next++
		}
	}
	assert.Equal(t, streamEvents+1, next)
}

// lookup returns where a directory sends a client at a location; nil: it doesn't know.
func lookup(ctx context.Context, directory string, at location) []string {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet,
		"http://"+directory+"/lookup?name="+host+"&region="+at.region+"&zone="+at.zone, nil)
	if err != nil {
		return nil
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&answer) != nil {
		return nil
	}
	return answer.Addresses
}
