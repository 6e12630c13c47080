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
	// patience is how long a client waits for one request, over all tries.
	patience = 30 * time.Second
	// pace is between two requests of one client.
	pace = 20 * time.Millisecond
	// lookupWithin bounds a look-up.
	lookupWithin = time.Second
	clients      = 6
)

// attempts counts all tries of this process; their ids come of it.
var attempts atomic.Uint64

// traffic is some clients that send requests one after the other.
type traffic struct {
	c      *cluster
	stop   context.CancelFunc
	all    sync.WaitGroup
	done   atomic.Int64
	unmet  atomic.Int64
	client *http.Client
}

// send starts traffic. Which proxies it goes to, the directories say.
func (c *cluster) send() *traffic {
	ctx, stop := context.WithCancel(context.Background())
	tr := &traffic{c: c, stop: stop, client: newHTTP()}
	for i := range clients {
		tr.all.Go(func() { tr.run(ctx, i) })
	}
	return tr
}

func newHTTP() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: clients,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
}

// end stops the clients after the requests that they are at. Each must have been served.
func (tr *traffic) end() {
	tr.c.t.Helper()
	tr.stop()
	tr.all.Wait()
	tr.client.CloseIdleConnections()
	assert.Zero(tr.c.t, tr.unmet.Load(), "requests without an answer; tries cut: %d, failed: %d",
		tr.c.ledger.count(cut), tr.c.ledger.count(failed))
}

// more waits until so many requests more are served.
func (tr *traffic) more(n int64) {
	tr.c.t.Helper()
	target := tr.done.Load() + n
	tr.c.soon(fmt.Sprintf("%d requests more are served", n), func() bool { return tr.done.Load() >= target })
}

// run is one client.
func (tr *traffic) run(ctx context.Context, number int) {
	ticker := time.NewTicker(pace)
	defer ticker.Stop()
	for i := number; ; i++ {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if tr.ask(kinds[i%len(kinds)], number) {
			tr.done.Add(1)
		} else {
			tr.unmet.Add(1)
		}
	}
}

// ask sends a request, again where the protocol allows, until it is served or its time is over.
func (tr *traffic) ask(k kind, number int) bool {
	over := time.Now().Add(patience)
	for round := 0; time.Now().Before(over); round++ {
		addresses := lookup(tr.c.agents[(number+round)%len(tr.c.agents)].at(portDirectory), places[number%len(places)])
		if len(addresses) == 0 {
			time.Sleep(pace)
			continue
		}
		how := tr.c.ask(tr.client, k, "/"+k.name+"/x", addresses[(number+round)%len(addresses)])
		switch {
		case how == served:
			return true
		case how == promised, how == unsent, k.repeatable:
			time.Sleep(pace)
		default: // it may not be sent again; whether it was lost, the ledger judges
			return how == cut
		}
	}
	return false
}

// newAttempt is the id of a new try.
func newAttempt() string { return fmt.Sprintf("t%x", attempts.Add(1)) }

// ask makes one try at a proxy, notes it and says how it ended.
func (c *cluster) ask(by *http.Client, k kind, path, proxy string) ending {
	attempt := newAttempt()
	c.ledger.open(attempt, k, proxy)
	how, status := c.try(by, k, path, proxy, attempt)
	c.ledger.close(attempt, how, status)
	return how
}

func (c *cluster) try(by *http.Client, k kind, path, proxy, attempt string) (ending, int) {
	body := "body of " + attempt
	request := newRequest(context.Background(), k, path, proxy, attempt, body)
	response, err := by.Do(request)
	if err != nil {
		return endingOf(err), 0
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	switch status := response.StatusCode; {
	case err != nil:
		return cut, status
	case status == http.StatusOK:
		c.check(k, path, attempt, body, response, string(answer))
		return served, status
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests,
		status == http.StatusRequestTimeout, status == http.StatusMisdirectedRequest:
		return promised, status
	default:
		return failed, status
	}
}

// newRequest makes a client's request.
func newRequest(ctx context.Context, k kind, path, proxy, attempt, body string) *http.Request {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+proxy+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Host = host
	request.Header.Set("X-Attempt-Id", attempt)
	request.Header.Set("X-Time-Left", strconv.FormatInt(patience.Milliseconds(), 10))
	if k.stream {
		request.Header.Set("X-Model", "m")
		request.Header.Set("X-Token-Count", tokenCount)
		request.Header.Set("X-Prompt-Prefix", "5c1e:60,"+attempt[1:]+":40")
	}
	return request
}

// endingOf tells a connection that never stood from one that broke.
func endingOf(err error) ending {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return unsent
	}
	return cut
}

// check fails the test where an answer is not the endpoint's own to this request.
func (c *cluster) check(k kind, path, attempt, body string, response *http.Response, answer string) {
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

// checkEvents fails the test unless all events came once and in order.
func checkEvents(t *testing.T, answer string) {
	next := 1
	for lines := bufio.NewScanner(strings.NewReader(answer)); lines.Scan(); {
		if id, found := strings.CutPrefix(lines.Text(), "id: "); found {
			assert.Equal(t, strconv.Itoa(next), id)
			next++
		}
	}
	assert.Equal(t, answerEvents+1, next)
}

// lookup asks a directory where a client at a place should go; nil: it doesn't know.
func lookup(directory string, at place) []string {
	ctx, cancel := context.WithTimeout(context.Background(), lookupWithin)
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
	defer response.Body.Close()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&answer) != nil {
		return nil
	}
	return answer.Addresses
}
