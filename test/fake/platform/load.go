package platform

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"time"

	"rowanlink/webhook/api"
)

// Webhook is what a client wants delivered.
type Webhook struct {
	Type        string
	Destination api.DestinationID
	List        string // in place of Destination: an announcement to its subscribers
	Key         string // of the order
	TTL         time.Duration
	Body        string

	token   string // the idempotency key
	retryOf string // the ID under which it was rejected or returned
}

// Load is a stream of webhooks at a limited rate. Each client submits the next one when its last is answered, over a
// connection to each member that it keeps open; it submits a rejected one again once its wait is over.
type Load struct {
	Members     []string            // in turn
	PerSecond   float64             // at most, of all clients together
	Clients     int                 // 1 keeps the order in which webhooks are submitted
	MaxAttempts int                 // for each webhook; 0: 4
	Next        func(n int) Webhook // returns the n-th webhook
	MaxWebhooks int                 // the load ends by itself after so many; 0: when its context ends
}

const (
	defaultMaxAttempts = 4
	minRetryDelay      = 20 * time.Millisecond
)

// Submit submits a webhook at a member, once. It returns the webhook's ID and the status of the response; 0: there was
// none in time.
func (p *Platform) Submit(member string, w Webhook) (id string, status int) {
	c := newClient(p)
	defer c.close()
	id, status, _ = c.submitOnce(context.Background(), member, w)
	return id, status
}

// StartLoad starts a load. wait returns when all clients have ended.
func (p *Platform) StartLoad(ctx context.Context, load Load) (wait func()) {
	source := &webhookSource{
		load:   load,
		ticker: time.NewTicker(time.Duration(float64(time.Second) / load.PerSecond)),
	}
	var clients sync.WaitGroup
	for range max(1, load.Clients) {
		clients.Go(func() {
			c := newClient(p)
			defer c.close()
			for w, n, ok := source.next(ctx); ok; w, n, ok = source.next(ctx) {
				c.submitUntilAccepted(ctx, load, n, w)
			}
		})
	}
	return func() {
		clients.Wait()
		source.ticker.Stop()
	}
}

// webhookSource hands out the webhooks of a load at its rate.
type webhookSource struct {
	load   Load
	ticker *time.Ticker

	mu    sync.Mutex
	count int
}

// next returns the next webhook and its number, or false if the load has ended.
func (s *webhookSource) next(ctx context.Context) (w Webhook, n int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.load.MaxWebhooks > 0 && s.count >= s.load.MaxWebhooks {
		return Webhook{}, 0, false
	}
	select {
	case <-s.ticker.C:
	case <-ctx.Done():
		return Webhook{}, 0, false
	}
	n = s.count
	s.count++
	return s.load.Next(n), n, true
}

// submitUntilAccepted submits a webhook until it is accepted, or out of time or attempts. Without a response it is
// submitted again, as another one, only if a second effect does no harm.
func (c *client) submitUntilAccepted(ctx context.Context, load Load, n int, w Webhook) {
	load.MaxAttempts = cmp.Or(load.MaxAttempts, defaultMaxAttempts)
	startedAt := time.Now()
	for attempt := range load.MaxAttempts {
		member := load.Members[(n+attempt)%len(load.Members)]
		id, status, wait := c.submitOnce(context.WithoutCancel(ctx), member, w) // what is begun goes on
		switch {
		case status == http.StatusOK || status == http.StatusAccepted:
			c.platform.onNotice(id, func(reported notice) {
				if reported.outcome == returned && w.Key == "" && attempt+1 < load.MaxAttempts {
					c.platform.resubmit(ctx, load, n+1, w.asRetryOf(id), load.MaxAttempts-attempt-1, reported.retryIn)
				}
			})
			return
		case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
			w = w.asRetryOf(id)
		case status == 0 && c.platform.Checker.Requirements.EventTypes[w.Type].Semantics == api.Idempotent:
			w.retryOf = ""
		default:
			return
		}
		wait = max(wait, minRetryDelay)
		if w.TTL > 0 && time.Since(startedAt)+wait > w.TTL {
			return
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
	}
}

// asRetryOf returns the webhook as a retry of a submission.
func (w Webhook) asRetryOf(id string) Webhook {
	w.retryOf = id
	w.token = cmp.Or(w.token, defaultToken(id))
	return w
}

// defaultToken returns the idempotency key of a webhook by the ID of its first submission.
func defaultToken(id string) string { return "k" + id }

// resubmit submits a webhook that was returned again after a delay, unless the load has ended.
func (p *Platform) resubmit(ctx context.Context, load Load, n int, w Webhook, attempts int, delay time.Duration) {
	time.AfterFunc(delay, func() {
		if ctx.Err() != nil {
			return
		}
		c := newClient(p)
		defer c.close()
		c.submitUntilAccepted(ctx, Load{Members: load.Members, MaxAttempts: attempts}, n, w)
	})
}
