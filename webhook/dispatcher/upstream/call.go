package upstream

import (
	"math"
	"time"

	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// Attempt is one webhook's part in a call: how long its answer is waited for, and the latest time to begin.
type Attempt struct {
	Webhook         *inflight.Webhook
	Timeout, Latest api.Micros
}

// call is one call in flight.
type call struct {
	endpoint   *endpoint
	webhooks   []*inflight.Webhook
	startedAt  api.Micros
	timeout    api.Micros
	latest     api.Micros // the call must not begin later
	connection *connection
	cancelled  bool
}

// callResult is the result of a call as a whole.
type callResult struct {
	outcome    api.Outcome
	final      bool
	retryAfter api.Micros
	perWebhook map[inflight.RequestID]itemResult // of a bundle whose webhooks have separate results
	reusable   bool                              // the connection may be used again

	// connectionRefused is set where the call was rejected without a Retry-After and the connection was closed. On the
	// first call of a connection that means a connection limit, not the destination's rate limit.
	connectionRefused bool
}

// Send makes the calls for webhooks that one turn sends to one endpoint: as few as its batch size allows.
func (c *Client) Send(id api.EndpointID, attempts []Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.endpoints[id]
	if e == nil { // it was removed and forgotten; without a result the webhook would wait for ever
		for _, a := range attempts {
			c.onResult(a.Webhook, api.AttemptResult{Webhook: a.Webhook.ID, Endpoint: id, Outcome: api.NotSent})
		}
		return
	}
	for len(attempts) > 0 {
		n := min(e.batchSize, len(attempts))
		k := c.newCall(e, attempts[:n])
		attempts = attempts[n:]
		c.counters.Calls.Add(1)
		if n > 1 {
			c.counters.Bundled.Add(int64(n))
		}
		go c.run(k)
	}
}

// newCall registers a call as in flight; the caller holds the lock. The shortest time-out of its webhooks applies to the
// whole call: it must not go on after one of them was reported as timed out.
func (c *Client) newCall(e *endpoint, attempts []Attempt) *call {
	k := &call{endpoint: e, startedAt: inflight.Now(), timeout: math.MaxInt64, latest: math.MaxInt64}
	for _, a := range attempts {
		c.inFlight[a.Webhook.ID] = k
		k.webhooks = append(k.webhooks, a.Webhook)
		k.timeout = min(k.timeout, a.Timeout)
		k.latest = min(k.latest, a.Latest)
	}
	e.inFlight++
	return k
}

// run makes one call from connect to answer and reports its results.
func (c *Client) run(k *call) {
	result, connection := c.connectAndCall(k)
	if connection != nil && result.reusable {
		c.release(k.endpoint, connection)
	}
	c.finish(k, &result, connection)
	latency := inflight.Now() - k.startedAt
	for _, w := range k.webhooks {
		item := itemResult{outcome: result.outcome, final: result.final}
		if result.perWebhook != nil {
			item = result.perWebhook[w.RequestID]
		}
		c.counters.Outcomes[item.outcome].Add(1)
		w.Trace(inflight.OutcomeName(item.outcome), k.endpoint.id, latency)
		c.onResult(w, api.AttemptResult{
			Webhook:    w.ID,
			Endpoint:   k.endpoint.id,
			Outcome:    item.outcome,
			Latency:    latency,
			Final:      item.final,
			RetryAfter: result.retryAfter,
		})
	}
}

// finish updates the client's state after a call, and sets the outcome of a cancelled one.
func (c *Client) finish(k *call, result *callResult, connection *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if connection != nil && !result.reusable {
		c.discard(connection)
	}
	if result.retryAfter > 0 {
		r := k.endpoint.route
		c.retryAfterUntil[r] = max(c.retryAfterUntil[r], inflight.Now()+result.retryAfter)
	}
	for _, w := range k.webhooks {
		delete(c.inFlight, w.ID)
	}
	k.endpoint.inFlight--
	if k.cancelled && result.outcome != api.Delivered && result.outcome != api.ConnectFailed {
		result.outcome = api.Cancelled
	}
}

// connectAndCall makes the call on an idle connection, or else on a new one. If the other side sends data or closes an idle
// connection before the last byte of the call is written, the call has not been made, and another connection is used.
func (c *Client) connectAndCall(k *call) (callResult, *connection) {
	for {
		connection, isNew, err := c.connect(k)
		switch {
		case err != nil:
			return callResult{outcome: api.ConnectFailed}, nil
		case connection == nil:
			return callResult{outcome: api.NotSent}, nil
		}
		result, made := c.callOn(connection, k, isNew)
		if made {
			return result, connection
		}
		c.mu.Lock()
		k.connection = nil
		c.discard(connection)
		c.mu.Unlock()
	}
}

// connect returns an idle connection or opens one; it returns nil if the limit of open connections doesn't allow one.
func (c *Client) connect(k *call) (connection *connection, isNew bool, err error) {
	connection, hasSpace := c.acquire(k.endpoint)
	if connection != nil || !hasSpace {
		return connection, false, nil
	}
	c.counters.Connections.Add(1)
	now := inflight.Now()
	remaining := k.timeout - (now - k.startedAt)
	timeout := max(min(api.Micros(c.connectTimeout.Load()), remaining, k.latest-now), 1)
	connection, err = dial(k.endpoint.addr, timeout.Duration())
	if err != nil {
		c.mu.Lock()
		c.open--
		c.mu.Unlock()
	}
	return connection, true, err
}

// callOn makes the call on a connection. made is false if the call can't have run, since it wasn't written completely, and
// another connection may be tried.
func (c *Client) callOn(connection *connection, k *call, isNew bool) (result callResult, made bool) {
	mayBegin, cancelled := c.begin(connection, k)
	if !mayBegin || !c.mayCall(k) {
		return callResult{outcome: api.NotSent, reusable: true}, true
	}
	if cancelled {
		return callResult{outcome: api.ConnectFailed}, true
	}
	remaining := k.timeout - (inflight.Now() - k.startedAt) // less the time for connecting
	until := time.Now().Add(remaining.Duration())
	stillAllowed := func() bool { return c.mayCall(k) }
	switch written := connection.write(encodeRequest(k, remaining), until, stillAllowed); {
	case written:
		return c.receive(connection, k, until, isNew), true
	case !stillAllowed(): // the lease ended between the first and the last byte: the call never ran
		return callResult{outcome: api.NotSent}, true
	case isNew || !time.Now().Before(until):
		return callResult{outcome: api.ConnectFailed}, true
	}
	return callResult{}, false
}

// begin gives the call its connection, and checks again what may have changed while it connected: draining,
// Retry-After, and the time for which the destination remembers a key, apply to the first byte.
func (c *Client) begin(connection *connection, k *call) (mayBegin, cancelled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := inflight.Now()
	mayBegin = k.endpoint.listed && now >= c.retryAfterUntil[k.endpoint.route] && now <= k.latest && !c.closed
	k.connection = connection
	return mayBegin, k.cancelled
}

func (c *Client) receive(connection *connection, k *call, until time.Time, isNew bool) callResult {
	for _, w := range k.webhooks {
		w.Trace("written", k.endpoint.id, inflight.Now()-k.startedAt)
	}
	result := c.readAnswer(connection, k, until)
	if result.connectionRefused && isNew {
		result.outcome = api.ConnectionLimited
	}
	return result
}
