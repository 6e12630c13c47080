// Package upstream makes the calls to endpoints, on connections that it manages. It makes each call once, retries nothing
// and decides nothing, and reports a result for each webhook.
package upstream

import (
	"math"
	"sync"
	"sync/atomic"

	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// defaultRestTimeout bounds the rest of an answer where no idle limit is configured.
const defaultRestTimeout = api.Second / 4

// Fractions of the time after which the other side closes an idle connection. Idle connections are closed well before the
// other side does so, since a call that is sent while the other side closes would end as a reset.
const (
	idleTimeoutNumerator   = 4
	idleTimeoutDenominator = 5
	restTimeoutDenominator = 16
)

// ResultFunc receives the result that a call had for one of its webhooks. It is called from the call's own goroutine.
type ResultFunc func(w *inflight.Webhook, result api.AttemptResult)

// Client manages the connections and the calls in flight. It is safe for concurrent use.
type Client struct {
	counters       *inflight.Counters
	onResult       ResultFunc
	connectTimeout atomic.Int64 // µs
	idleTimeout    atomic.Int64 // µs after which an idle connection is closed
	restTimeout    atomic.Int64 // µs within which an answer that has begun must be complete
	maxOpen        int

	mu              sync.Mutex
	endpoints       map[api.EndpointID]*endpoint
	retryAfterUntil map[route]api.Micros // for calls that are still connecting when a Retry-After arrives
	inFlight        map[api.WebhookID]*call
	open            int // connections
	closed          bool

	// MayCall reports, in a cluster, whether this dispatcher may call a destination now; nil elsewhere. It is set before
	// the first call, is asked right before a call's first and last byte, and must not block.
	MayCall func(api.DestinationID) bool
}

// route is what a Retry-After applies to: a destination, or one endpoint where the kind has separate routes.
type route struct {
	dest     api.DestinationID
	endpoint api.EndpointID
	separate bool
}

type endpoint struct {
	id        api.EndpointID
	addr      string
	route     route
	zone      api.ZoneID
	kind      api.DestinationKindID
	batchSize int // webhooks in one call at most
	listed    bool
	gone      bool
	inFlight  int           // calls
	idle      []*connection // in the order of their last use
}

// New returns a Client with at most maxOpen connections. A connectTimeout of 0 leaves the connect to the attempt's time-out;
// idleLimit is the time after which the other side closes idle connections, 0 where it isn't known.
func New(counters *inflight.Counters, onResult ResultFunc, connectTimeout, idleLimit api.Micros, maxOpen int) *Client {
	c := &Client{
		counters:        counters,
		onResult:        onResult,
		maxOpen:         max(maxOpen, 1),
		endpoints:       map[api.EndpointID]*endpoint{},
		retryAfterUntil: map[route]api.Micros{},
		inFlight:        map[api.WebhookID]*call{},
	}
	c.UpdateSettings(connectTimeout, idleLimit, nil)
	return c
}

// UpdateSettings applies settings to calls from now on; calls in flight keep the previous ones.
func (c *Client) UpdateSettings(connectTimeout, idleLimit api.Micros, kinds []api.DestinationKind) {
	if connectTimeout <= 0 {
		connectTimeout = math.MaxInt64
	}
	restTimeout := idleLimit / restTimeoutDenominator
	if restTimeout <= 0 {
		restTimeout = defaultRestTimeout
	}
	c.connectTimeout.Store(int64(connectTimeout))
	c.idleTimeout.Store(int64(idleLimit * idleTimeoutNumerator / idleTimeoutDenominator))
	c.restTimeout.Store(int64(restTimeout))
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.endpoints {
		if int(e.kind) < len(kinds) {
			e.batchSize = max(kinds[e.kind].BatchSize, 1)
		}
	}
}

// UpdateEndpoint applies an entry of the endpoint list.
func (c *Client) UpdateEndpoint(entry api.EndpointEntry, addr string, kind api.DestinationKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.endpoints[entry.Endpoint]
	if e == nil {
		e = newEndpoint(entry, kind)
		c.endpoints[entry.Endpoint] = e
	}
	e.zone = entry.Zone
	e.listed = entry.Status == api.EndpointActive
	e.gone = entry.Status == api.EndpointRemoved
	if e.gone {
		c.discardIdle(e)
	}
	if addr != "" && addr != e.addr {
		c.discardIdle(e) // connections to the old address
		e.addr = addr
	}
}

func newEndpoint(entry api.EndpointEntry, kind api.DestinationKind) *endpoint {
	e := &endpoint{
		id:        entry.Endpoint,
		kind:      entry.Kind,
		batchSize: max(kind.BatchSize, 1),
		route:     route{dest: entry.Destination},
	}
	if kind.SeparateRoutes {
		e.route.endpoint = entry.Endpoint
		e.route.separate = true
	}
	return e
}

// RemoveOthers removes all endpoints that a complete list lacks.
func (c *Client) RemoveOthers(listed map[api.EndpointID]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, e := range c.endpoints {
		if !listed[id] {
			e.listed = false
			e.gone = true
			c.discardIdle(e)
		}
	}
}

// Zone returns an endpoint's zone.
func (c *Client) Zone(id api.EndpointID) api.ZoneID {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.endpoints[id]; e != nil {
		return e.zone
	}
	return 0
}

// InFlight returns how many webhooks are in a call.
func (c *Client) InFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.inFlight)
}

// Cancel cancels the call that a webhook is in.
func (c *Client) Cancel(id api.WebhookID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.inFlight[id]
	if k == nil {
		return
	}
	k.cancelled = true
	if k.connection != nil {
		_ = k.connection.Close() // the call's goroutine gets an error and discards the connection
	}
}

// Close closes every idle connection, and those of calls in flight when their calls end.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	for id := range c.endpoints {
		c.CloseIdle(id)
	}
}

func (c *Client) mayCall(k *call) bool { return c.MayCall == nil || c.MayCall(k.endpoint.route.dest) }
