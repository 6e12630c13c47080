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
	Type string
	Dest api.DestinationID
	List string // in place of Dest: an announcement
	Key  string // of its order
	TTL  time.Duration
	Body string

	token string
	after string // the id under which it was refused or handed back
}

// Load is a stream of webhooks at a bounded rate. Each line takes the next one when its last is answered,
// over a connection to each member that it keeps; one refused is handed in again by the same line once its
// wait is over.
type Load struct {
	Members   []string            // in turn
	PerSecond float64             // at the most, all lines together
	Lines     int                 // 1 keeps the order in which webhooks are handed in
	Tries     int                 // at the most for each, 0: 4
	Next      func(n int) Webhook // the n-th
	Most      int                 // ends by itself after so many; 0: when ctx is done
}

// answerWithin is the protocol's: then the client closes its connection.
const answerWithin = 400 * time.Millisecond

// HandIn hands one webhook in at a member, and returns its id and what was answered; 0: nothing in time.
func (p *Platform) HandIn(member string, w Webhook) (id string, code int) {
	l := &line{p: p, open: map[string]*wire{}}
	defer l.close()
	id, code, _ = l.once(member, w)
	return id, code
}

// Drive hands in until the load has ended; wait returns when all lines have.
func (p *Platform) Drive(ctx context.Context, load Load) (wait func()) {
	tick := time.NewTicker(time.Duration(float64(time.Second) / load.PerSecond))
	var group sync.WaitGroup
	var mu sync.Mutex
	n := 0
	next := func() (Webhook, int, bool) {
		mu.Lock()
		defer mu.Unlock()
		if load.Most > 0 && n >= load.Most {
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
	for range max(1, load.Lines) {
		group.Go(func() {
			l := &line{p: p, open: map[string]*wire{}}
			defer l.close()
			for w, n, more := next(); more; w, n, more = next() {
				l.until(ctx, load, n, w)
			}
		})
	}
	return func() { group.Wait(); tick.Stop() }
}

// line is a client's connections, one to each member.
type line struct {
	p    *Platform
	open map[string]*wire
}

type wire struct {
	net.Conn
	in *bufio.Reader
}

func (l *line) close() {
	for _, c := range l.open {
		c.Close()
	}
}

// until hands one webhook in until it is taken on, out of time or out of tries. What got no answer is handed
// in again, as another one, only where a second effect does no harm.
func (l *line) until(ctx context.Context, load Load, n int, w Webhook) {
	tries := load.Tries
	if tries == 0 {
		tries = 4
	}
	began := time.Now()
	for try := range tries {
		id, code, wait := l.once(load.Members[(n+try)%len(load.Members)], w)
		switch {
		case code == 200 || code == 202:
			l.p.watchNotice(id, func(told notice) {
				if told.outcome == "handed_back" && w.Key == "" && try+1 < tries {
					time.AfterFunc(told.retryIn, func() {
						if ctx.Err() != nil {
							return
						}
						again := &line{p: l.p, open: map[string]*wire{}}
						defer again.close()
						w.after, w.token = id, cmp.Or(w.token, "k"+id)
						again.until(ctx, Load{Members: load.Members, Tries: tries - try - 1}, n+1, w)
					})
				}
			})
			return
		case code == 429 || code == 503:
			w.after = id
			w.token = cmp.Or(w.token, "k"+id)
		case code == 0 && l.p.Ledger.Terms.Types[w.Type].Semantics == api.Idempotent:
			w.after = ""
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

func (p *Platform) watchNotice(id string, heard func(notice)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drive[id] = heard
}

// once hands a webhook in at one member. code 0: no answer.
func (l *line) once(member string, w Webhook) (id string, code int, wait time.Duration) {
	p := l.p
	p.mu.Lock()
	p.ids++
	id = "w" + strconv.Itoa(p.ids)
	addr := p.front[member]
	dests, to := []api.DestinationID{w.Dest}, fmt.Sprintf("dest=%d", w.Dest)
	if w.List != "" {
		dests, to = p.Lists[w.List], "list="+w.List
	}
	p.mu.Unlock()
	if w.token == "" {
		w.token = "k" + id
	}
	if w.TTL == 0 {
		w.TTL = time.Duration(p.Ledger.Terms.Types[w.Type].TTL) * time.Microsecond
	}
	text := &bytes.Buffer{}
	fmt.Fprintf(text, "POST /api HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Class: %s\r\n"+
		"Request-Timeout-Ms: %d\r\nX-Route-To: %s\r\nIdempotency-Key: %s\r\nContent-Length: %d\r\n", addr, id,
		w.Type,
		w.TTL.Milliseconds(), to, w.token, len(w.Body))
	if w.Key != "" {
		fmt.Fprintf(text, "Affinity-Key: %s\r\n", w.Key)
	}
	if w.after != "" {
		text.WriteString("Client-Retry: 1\r\n")
	}
	text.WriteString("\r\n" + w.Body)
	p.Ledger.HandedIn(deliverycheck.HandIn{At: p.Now(), ID: id, After: w.after, Member: member, Dests: dests,
		Type: w.Type,
		Key:  w.Key, TTL: api.Micros(w.TTL.Microseconds())})
	resp, err := l.ask(addr, text.Bytes())
	if err == nil {
		code = resp.StatusCode
		if after, bad := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); bad == nil {
			wait = time.Duration(after * float64(time.Second))
		}
	}
	p.Ledger.Answered(p.Now(), id, code)
	return id, code, wait
}

// ask sends a request over the kept connection, or a new one where that has been closed between requests.
func (l *line) ask(addr string, text []byte) (*http.Response, error) {
	c := l.open[addr]
	if c != nil {
		if quiet, _ := socket.Inspect(c.Conn); !quiet { // a member has ended it meanwhile
			c.Close()
			c = nil
		}
	}
	delete(l.open, addr)
	if c == nil {
		conn, err := net.DialTimeout("tcp", addr, answerWithin)
		if err != nil {
			return nil, err
		}
		c = &wire{conn, bufio.NewReader(conn)}
	}
	resp, err := c.ask(text)
	if err != nil || resp.Close {
		c.Close()
		return resp, err
	}
	l.open[addr] = c
	return resp, nil
}

func (c *wire) ask(text []byte) (*http.Response, error) {
	if err := c.SetDeadline(time.Now().Add(answerWithin)); err != nil {
		return nil, err
	}
	if _, err := c.Write(text); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err
}
