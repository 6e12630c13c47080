// Package discovery follows the endpoint list: it starts from the list this dispatcher last held and watches
// for changes from there on.
package discovery

import (
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/tidwall/gjson"

	"rowanlink/webhook/api"
	"rowanlink/webhook/config"
	"rowanlink/webhook/dispatcher/inflight"
	"rowanlink/webhook/refresh"
)

// LinePeriod is the protocol's: an empty line comes so often as long as nothing changes.
const LinePeriod = 2 * time.Second

// Listed is told a list, with the address of each of its entries; whole: what is not in it is gone.
type Listed func(entries []api.EndpointEntry, addrs []string, whole bool)

// Scheduler decides when each ask begins and what it may take, is told of each sign of life of a watch, and says
// for how long the first one is waited for, in µs.
type Scheduler interface {
	Next(why refresh.Reason, pushed bool) refresh.Request
	RecordActivity()
	StartupDelay(pushed bool) api.Micros
}

// Client is one dispatcher's watch.
type Client struct {
	listed     Listed
	broken     func()
	begun      func()
	asks       Scheduler
	most       int // bytes of one object
	generation int64
	ids        map[string]*named
	last       api.EndpointID

	mu      sync.Mutex
	names   config.Catalog
	keepFor time.Duration // the name of an endpoint that is gone is kept so long
	addr    string
	moved   chan struct{} // closed when the address is another one
}

// named is an endpoint's number, never used for another one, and since when it is gone.
type named struct {
	id   api.EndpointID
	gone time.Time
}

// New makes a watch of the registry at an address; an object has most bytes. broken is called for each that
// can't be read; begun once, when the first ask has its answer, has failed, or was waited for long enough. A
// gone endpoint's name is kept for as long as anything of it may still be out or waited for.
func New(addr string, names config.Catalog, asks Scheduler, most int, keepFor api.Micros, listed Listed,
	broken, begun func()) *Client {
	return &Client{addr: addr, names: names, asks: asks, most: most, listed: listed, broken: broken,
		begun: sync.OnceFunc(begun), keepFor: inflight.Duration(keepFor), ids: map[string]*named{},
		moved: make(chan struct{})}
}

// SetAddress ends the watch, also one that still connects; the next one is at another address.
func (r *Client) SetAddress(addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if addr != r.addr {
		r.addr = addr
		close(r.moved)
		r.moved = make(chan struct{})
	}
}

// UpdateSettings has lists that come from now on read by other names; kinds and zones are as the last entries said.
func (r *Client) UpdateSettings(names config.Catalog, keepFor api.Micros) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.names, r.keepFor = names, inflight.Duration(keepFor)
}

// by tells what lists are read by now.
func (r *Client) by() (config.Catalog, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.names, r.keepFor
}

// place tells where the registry is, and what is closed when that is over.
func (r *Client) place() (addr string, moved <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.addr, r.moved
}

// LoadStored reads one list object and tells what stands in it.
func (r *Client) LoadStored(object gjson.Result) error {
	generation, list := object.Get("generation"), object.Get("instances")
	if generation.Type != gjson.Number || !list.IsArray() {
		return fmt.Errorf("a list without generation or instances: %.80s", object.Raw)
	}
	var entries []api.EndpointEntry
	var addrs []string
	names, _ := r.by()
	here := map[string]bool{}
	for _, l := range list.Array() {
		id, addr, cell := l.Get("instanceId").String(), l.Get("hostPort").String(), l.Get("cell")
		standing, known := standings[l.Get("lifecycle").String()]
		_, _, err := net.SplitHostPort(addr)
		dest := api.DestinationID(cell.Uint())
		if id == "" || !known || err != nil && standing != api.EndpointRemoved ||
			cell.Type != gjson.Number || cell.Float() != float64(dest) {
			slog.Warn("list entry left out", "entry", l.Raw)
			continue
		}
		n := r.ids[id]
		if n == nil {
			r.last++
			n = &named{id: r.last}
			r.ids[id] = n
		}
		if here[id] = standing != api.EndpointRemoved; here[id] {
			n.gone = time.Time{}
		}
		rate := l.Get("weight").Float()
		if !(rate > 0) {
			rate = 0
		}
		entries = append(entries, api.EndpointEntry{Endpoint: n.id, Status: standing, Rate: rate,
			Destination: dest, Kind: api.DestinationKindID(index(names.Kinds, l.Get("machineType"))),
			Zone: api.ZoneID(index(names.Zones, l.Get("zone")))})
		addrs = append(addrs, addr)
	}
	r.generation = generation.Int()
	r.listed(entries, addrs, object.Get("reset").Bool())
	r.forget(here, object.Get("reset").Bool())
	return nil
}

// forget notes which endpoints are gone and drops the names of those long gone: with endpoints replaced
// all day long they would pile up.
func (r *Client) forget(here map[string]bool, whole bool) {
	now := time.Now()
	_, keepFor := r.by()
	for id, n := range r.ids {
		is, told := here[id]
		if gone := told && !is || whole && !told; gone && n.gone.IsZero() {
			n.gone = now
		}
		if !n.gone.IsZero() && now.Sub(n.gone) > keepFor {
			delete(r.ids, id)
		}
	}
}

var standings = map[string]api.EndpointStatus{"SERVING": api.EndpointActive, "DRAINING": api.EndpointDraining,
	"DELETED": api.EndpointRemoved}

// index is a name's index, or one past the last.
func index(names []string, name gjson.Result) int {
	if i := slices.Index(names, name.String()); i >= 0 {
		return i
	}
	return len(names)
}
