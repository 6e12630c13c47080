package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// host is the name that clients ask for.
const host = "shop.example"

// sentRequest is a client's request with its answer.
type sentRequest struct {
	id       string
	front    *machine
	sentAt   time.Time
	endedAt  time.Time
	status   int // 0: no answer
	complete bool
	body     string
}

// client is a stand-in for the clients. It keeps connections.
type client struct {
	deployment *deployment
	http       *http.Client
	count      atomic.Int64
	wait       sync.WaitGroup

	mutex sync.Mutex
	sent  []sentRequest
}

func newClient(d *deployment) *client {
	return &client{deployment: d, http: &http.Client{
		Timeout:   20 * time.Second,
		Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 10 * time.Second, DisableCompression: true},
	}}
}

// send sends one request to a front and waits for its answer.
func (c *client) send(ctx context.Context, front *machine, path string) sentRequest {
	number := c.count.Add(1)
	s := sentRequest{id: fmt.Sprintf("%06x", number), front: front, sentAt: time.Now()}
	target := fmt.Sprintf("http://%s:%d%s%d", front.ip, portFront, path, number)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader("request "+s.id))
	if err != nil {
		return s
	}
	request.Host = host
	request.Header.Set("X-Attempt-Id", s.id)
	request.Header.Set("X-Time-Left", "5000")
	response, err := c.http.Do(request)
	if err == nil {
		body, readErr := io.ReadAll(response.Body)
		_ = response.Body.Close()
		s.status, s.complete, s.body = response.StatusCode, readErr == nil, string(body)
	}
	s.endedAt = time.Now()
	c.deployment.record.logAt(s.sentAt, "request", "%s to %s: status %d, complete %v, after %d ms", s.id, front.name, s.status,
		s.complete, s.endedAt.Sub(s.sentAt).Milliseconds())
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.sent = append(c.sent, s)
	return s
}

// start sends requests to all fronts in turn, at a steady rate, until stop is called. stop waits for their answers and
// may be called more than once.
func (c *client) start(ctx context.Context, perSecond int, path string) (stop func()) {
	sending, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.run(sending, perSecond, path)
	}()
	return func() {
		cancel()
		<-ended
	}
}

func (c *client) run(ctx context.Context, perSecond int, path string) {
	defer c.wait.Wait()
	ticks := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticks.Stop()
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
			front := c.deployment.fronts[number%len(c.deployment.fronts)]
			c.wait.Go(func() { c.send(context.WithoutCancel(ctx), front, path) })
		}
	}
}

// byID returns all requests that were sent.
func (c *client) byID() map[string]sentRequest {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	all := make(map[string]sentRequest, len(c.sent))
	for _, s := range c.sent {
		all[s.id] = s
	}
	return all
}
