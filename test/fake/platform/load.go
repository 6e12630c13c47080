package platform

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"rowanlink/internal/socket"
	"rowanlink/test/checker/deliverycheck"
	"rowanlink/webhook/api"
)

// Webhook is what a client wants delivered.
type Webhook struct {
	Type        string
	Destination api.DestinationID
	List        string // in place of Dest: an announcement
	Key         string // of its order
	TTL         time.Duration
	Body        string

	token   string
	retryOf string // the id under which it was refused or handed back
}

// Load is a stream of webhooks at a bounded rate. Each line takes the next one when its last is answered,
// over a connection to each member that it keeps; one refused is handed in again by the same line once its
// wait is over.
type Load struct {
	Members     []string            // in turn
	PerSecond   float64             // at the most, all lines together
	Clients     int                 // 1 keeps the order in which webhooks are handed in
	MaxAttempts int                 // at the most for each, 0: 4
	Next        func(n int) Webhook // the n-th
	MaxWebhooks int                 // ends by itself after so many; 0: when ctx is done
}

// responseTimeout is the protocol's: then the client closes its connection.
const responseTimeout = 400 * time.Millisecond

// Submit hands one webhook in at a member, and returns its id and what was answered; 0: nothing in time.
func (p *Platform) Submit(member string, w Webhook) (id string, code int) {
	l := &client{platform: p, connections: map[string]*clientConn{}}
	defer l.close()
	id, code, _ = l.submitOnce(member, w)
	return id, code
}

// StartLoad hands in until the load has ended; wait returns when all lines have.
func (p *Platform) StartLoad(ctx context.Context, load Load) (wait func()) {
	tick := time.NewTicker(time.Duration(float64(time.Second) / load.PerSecond))
	var group sync.WaitGroup
	var mu sync.Mutex
	n := 0
	next := func() (Webhook, int, bool) {
		mu.Lock()
		defer mu.Unlock()
		if load.MaxWebhooks > 0 && n >= load.MaxWebhooks {
			return Webhook{}, 0, false
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return Webhook{}, 0, false
		}
		n++
		return load.Next(n - 1), n - 1, true
	}
	for range max(1, load.Clients) {
		group.Go(func() {
			l := &client{platform: p, connections: map[string]*clientConn{}}
			defer l.close()
			for w, n, more := next(); more; w, n, more = next() {
				l.submitUntilAccepted(ctx, load, n, w)
			}
		})
	}
	return func() { group.Wait(); tick.Stop() }
}

// client is a client's connections, one to each member.
type client struct {
	platform    *Platform
	connections map[string]*clientConn
}

type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

func (l *client) close() {
	for _, c := range l.connections {
		c.Close()
	}
}

// submitUntilAccepted hands one webhook in until it is taken on, out of time or out of tries. What got no answer is handed
// in again, as another one, only where a second effect does no harm.
func (l *client) submitUntilAccepted(ctx context.Context, load Load, n int, w Webhook) {
	tries := load.MaxAttempts
	if tries == 0 {
		tries = 4
	}
	began := time.Now()
	for try := range tries {
		id, code, wait := l.submitOnce(load.Members[(n+try)%len(load.Members)], w)
		switch {
		case code == 200 || code == 202:
			l.platform.onNotice(id, func(told notice) {
				if told.outcome == "handed_back" && w.Key == "" && try+1 < tries {
					time.AfterFunc(told.retryIn, func() {
						if ctx.Err() != nil {
							return
						}
						again := &client{platform: l.platform, connections: map[string]*clientConn{}}
						defer again.close()
						w.retryOf, w.token = id, cmp.Or(w.token, "k"+id)
						again.submitUntilAccepted(ctx, Load{Members: load.Members, MaxAttempts: tries - try - 1}, n+1, w)
					})
				}
			})
			return
		case code == 429 || code == 503:
			w.retryOf = id
			w.token = cmp.Or(w.token, "k"+id)
		case code == 0 && l.platform.Checker.Requirements.EventTypes[w.Type].Semantics == api.Idempotent:
			w.retryOf = ""
		default:
			return
		}
		wait = max(wait, 20*time.Millisecond)
		if w.TTL > 0 && time.Since(began)+wait > w.TTL {
			return
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
	}
}

func (p *Platform) onNotice(id string, heard func(notice)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noticeHandlers[id] = heard
}

// submitOnce hands a webhook in at one member. code 0: no answer.
func (l *client) submitOnce(member string, w Webhook) (id string, code int, wait time.Duration) {
	p := l.platform
	p.mu.Lock()
	p.lastID++
	id = "w" + strconv.Itoa(p.lastID)
	addr := p.clientAddrs[member]
	dests, to := []api.DestinationID{w.Destination}, fmt.Sprintf("dest=%d", w.Destination)
	if w.List != "" {
		dests, to = p.SubscriberLists[w.List], "list="+w.List
	}
	p.mu.Unlock()
	if w.token == "" {
		w.token = "k" + id
	}
	if w.TTL == 0 {
		w.TTL = time.Duration(p.Checker.Requirements.EventTypes[w.Type].TTL) * time.Microsecond
	}
	text := &bytes.Buffer{}
	fmt.Fprintf(text, "POST /api HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Class: %s\r\n"+
		"Request-Timeout-Ms: %d\r\nX-Route-To: %s\r\nIdempotency-Key: %s\r\nContent-Length: %d\r\n", addr, id,
		w.Type,
		w.TTL.Milliseconds(), to, w.token, len(w.Body))
	if w.Key != "" {
		fmt.Fprintf(text, "Affinity-Key: %s\r\n", w.Key)
	}
	if w.retryOf != "" {
		text.WriteString("Client-Retry: 1\r\n")
	}
	text.WriteString("\r\n" + w.Body)
	p.Checker.RecordSubmission(deliverycheck.Submission{At: p.Now(), ID: id, RetryOf: w.retryOf, Member: member, Destinations: dests,
		Type: w.Type,
		Key:  w.Key, TTL: api.Micros(w.TTL.Microseconds())})
	resp, err := l.roundTrip(addr, text.Bytes())
	if err == nil {
		code = resp.StatusCode
		if after, bad := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); bad == nil {
			wait = time.Duration(after * float64(time.Second))
		}
	}
	p.Checker.RecordResponse(p.Now(), id, code)
	return id, code, wait
}

// roundTrip sends a request over the kept connection, or a new one where that has been closed between requests.
func (l *client) roundTrip(addr string, text []byte) (*http.Response, error) {
	c := l.connections[addr]
	if c != nil {
		if quiet, _ := socket.Inspect(c.Conn); !quiet { // a member has ended it meanwhile
			c.Close()
			c = nil
		}
	}
	delete(l.connections, addr)
	if c == nil {
		conn, err := net.DialTimeout("tcp", addr, responseTimeout)
		if err != nil {
			return nil, err
		}
		c = &clientConn{conn, bufio.NewReader(conn)}
	}
	resp, err := c.roundTrip(text)
	if err != nil || resp.Close {
		c.Close()
		return resp, err
	}
	l.connections[addr] = c
	return resp, nil
}

func (c *clientConn) roundTrip(text []byte) (*http.Response, error) {
	if err := c.SetDeadline(time.Now().Add(responseTimeout)); err != nil {
		return nil, err
	}
	if _, err := c.Write(text); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err
}
