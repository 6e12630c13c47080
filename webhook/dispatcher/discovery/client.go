// Package discovery keeps the endpoint list up to date: it starts with the endpoint list stored in the configuration and
// watches the registry for changes.
package discovery

import (
	"log/slog"
	"sync"
	"time"

	"github.com/tidwall/gjson"

	"rowanlink/webhook/api"
	"rowanlink/webhook/config"
	"rowanlink/webhook/refresh"
)

// LinePeriod is the interval of a watch's heartbeats, which the protocol sets: the registry sends empty lines while nothing
// changes.
const LinePeriod = 2 * time.Second

// UpdateFunc applies an endpoint list; addresses[i] is the address of entries[i]. Endpoints that a complete list lacks are
// removed.
type UpdateFunc func(entries []api.EndpointEntry, addresses []string, complete bool)

// Scheduler decides when each request begins and what it may take; refresh.Scheduler is one.
type Scheduler interface {
	Next(reason refresh.Reason, pushed bool) refresh.Request
	// RecordActivity records that a watch has received something.
	RecordActivity()
	// StartupDelay is how long to wait for the first list.
	StartupDelay(pushed bool) api.Micros
}

// Options configure a Client.
type Options struct {
	Address   string // host:port of the registry
	Catalog   config.Catalog
	Scheduler Scheduler
	MaxObject int // bytes of one list at most
	// RetainNames is how long the name of a removed endpoint keeps its number: as long as a call to it may be in flight or
	// pending.
	RetainNames api.Micros
	Update      UpdateFunc
	Malformed   func() // called for each list that can't be read
	// Ready is called once: when the first request has its answer or has failed, or after StartupDelay.
	Ready func()
}

// Client is one dispatcher's watch of the registry.
type Client struct {
	update     UpdateFunc
	malformed  func()
	ready      func()
	scheduler  Scheduler
	maxObject  int
	generation int64                      // of the last list that was read
	endpoints  map[string]*endpointNumber // by instance id
	lastNumber api.EndpointID

	mu             sync.Mutex
	catalog        config.Catalog
	retainNames    time.Duration
	address        string
	addressChanged chan struct{} // closed when the address changes
}

// endpointNumber holds an endpoint's number, which is never used for another endpoint, and the time of its removal.
type endpointNumber struct {
	id        api.EndpointID
	removedAt time.Time // zero: it is listed
}

// New returns a Client; Run starts it.
func New(o Options) *Client {
	return &Client{
		address:        o.Address,
		catalog:        o.Catalog,
		scheduler:      o.Scheduler,
		maxObject:      o.MaxObject,
		retainNames:    o.RetainNames.Duration(),
		update:         o.Update,
		malformed:      o.Malformed,
		ready:          sync.OnceFunc(o.Ready),
		endpoints:      map[string]*endpointNumber{},
		addressChanged: make(chan struct{}),
	}
}

// SetAddress ends the watch, also one that is still connecting; the next one goes to the new address.
func (c *Client) SetAddress(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if address != c.address {
		c.address = address
		close(c.addressChanged)
		c.addressChanged = make(chan struct{})
	}
}

// UpdateSettings has later lists read with another catalog; kinds and zones of earlier entries stay.
func (c *Client) UpdateSettings(catalog config.Catalog, retainNames api.Micros) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.catalog = catalog
	c.retainNames = retainNames.Duration()
}

func (c *Client) currentCatalog() config.Catalog {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.catalog
}

func (c *Client) currentRetention() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retainNames
}

// currentAddress returns the registry's address, and a channel that is closed when it changes.
func (c *Client) currentAddress() (address string, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.address, c.addressChanged
}

// LoadStored applies a stored endpoint list. It may be called only before Run.
func (c *Client) LoadStored(object gjson.Result) error { return c.handleList(object) }

// handleList reads one list object and passes it on.
func (c *Client) handleList(object gjson.Result) error {
	list, err := parseList(object)
	if err != nil {
		return err
	}
	catalog := c.currentCatalog()
	entries := make([]api.EndpointEntry, 0, len(list.instances))
	addresses := make([]string, 0, len(list.instances))
	isListed := map[string]bool{}
	for _, i := range list.instances {
		n := c.number(i.id)
		isListed[i.id] = i.status != api.EndpointRemoved
		if isListed[i.id] {
			n.removedAt = time.Time{}
		}
		entries = append(entries, i.entry(n.id, catalog))
		addresses = append(addresses, i.address)
	}
	c.generation = list.generation
	c.update(entries, addresses, list.complete)
	c.forgetRemoved(isListed, list.complete)
	return nil
}

// number returns an endpoint's number, and gives it one if it is new.
func (c *Client) number(instanceID string) *endpointNumber {
	n := c.endpoints[instanceID]
	if n == nil {
		c.lastNumber++
		n = &endpointNumber{id: c.lastNumber}
		c.endpoints[instanceID] = n
	}
	return n
}

// forgetRemoved records which endpoints are removed, and forgets those removed longer ago than the retention: endpoints are
// replaced all day, so that removed ones would use up memory.
func (c *Client) forgetRemoved(isListed map[string]bool, complete bool) {
	now := time.Now()
	retention := c.currentRetention()
	for id, n := range c.endpoints {
		listed, mentioned := isListed[id]
		removed := mentioned && !listed || complete && !mentioned
		if removed && n.removedAt.IsZero() {
			n.removedAt = now
		}
		if !n.removedAt.IsZero() && now.Sub(n.removedAt) > retention {
			delete(c.endpoints, id)
		}
	}
}

// recordActivity records that the watch has received something.
func (c *Client) recordActivity() {
	c.scheduler.RecordActivity()
	c.ready()
}

// reject counts and logs a malformed list; the last valid one stays in force.
func (c *Client) reject(size int, reason error) {
	c.malformed()
	slog.Warn("list not read, the last one stays in force", "bytes", size, "reason", reason)
}
