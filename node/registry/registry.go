// Package registry follows the endpoint list: it starts from the list this dispatcher last held and watches
// for changes from there on.
package registry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/tidwall/gjson"
	"github.com/valyala/fasthttp"

	"rowanlink/gateway"
	"rowanlink/internal/facts"
	"rowanlink/node/exchange"
)

// LinePeriod is the protocol's: an empty line comes so often as long as nothing changes.
const LinePeriod = 2 * time.Second

const (
	deadAfter = LinePeriod * 3 / 2
	mostLine  = 16 << 20
)

// Listed is told a list, with the address of each of its entries; whole: what is not in it is gone.
type Listed func(entries []gateway.Entry, addrs []string, whole bool)

// Asks decides how long to wait before each ask, in µs, and is told of each that brought a list.
type Asks interface {
	Next() gateway.Micros
	Heard()
}

// Registry is one dispatcher's watch.
type Registry struct {
	listed     Listed
	broken     func()
	asks       Asks
	generation int64
	ids        map[string]*named
	last       gateway.EndpointID

	mu      sync.Mutex
	names   facts.Names
	keepFor time.Duration // the name of an endpoint that is gone is kept so long
	addr    string
	moved   chan struct{} // closed when the address is another one
}

// named is an endpoint's number, never used for another one, and since when it is gone.
type named struct {
	id   gateway.EndpointID
	gone time.Time
}

// New makes a watch of the registry at an address; broken is called for each object that can't be read. A
// gone endpoint's name is kept for as long as anything of it may still be out or waited for.
func New(addr string, names facts.Names, asks Asks, keepFor gateway.Micros, listed Listed,
	broken func()) *Registry {
	return &Registry{addr: addr, names: names, asks: asks, listed: listed, broken: broken,
		keepFor: exchange.Span(keepFor), ids: map[string]*named{}, moved: make(chan struct{})}
}

// Move ends the watch, also one that still connects; the next one is at another address.
func (r *Registry) Move(addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if addr != r.addr {
		r.addr = addr
		close(r.moved)
		r.moved = make(chan struct{})
	}
}

// Renew has lists that come from now on read by other names; kinds and zones are as the last entries said.
func (r *Registry) Renew(names facts.Names, keepFor gateway.Micros) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.names, r.keepFor = names, exchange.Span(keepFor)
}

// by tells what lists are read by now.
func (r *Registry) by() (facts.Names, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.names, r.keepFor
}

// place tells where the registry is, and what is closed when that is over.
func (r *Registry) place() (addr string, moved <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.addr, r.moved
}

// Take reads one list object and tells what stands in it.
func (r *Registry) Take(object gjson.Result) error {
	generation, list := object.Get("generation"), object.Get("instances")
	if generation.Type != gjson.Number || !list.IsArray() {
		return fmt.Errorf("a list without generation or instances: %.80s", object.Raw)
	}
	var entries []gateway.Entry
	var addrs []string
	names, _ := r.by()
	here := map[string]bool{}
	for _, l := range list.Array() {
		id, addr, cell := l.Get("instanceId").String(), l.Get("hostPort").String(), l.Get("cell")
		standing, known := standings[l.Get("lifecycle").String()]
		_, _, err := net.SplitHostPort(addr)
		dest := gateway.DestinationID(cell.Uint())
		if id == "" || !known || err != nil && standing != gateway.Gone ||
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
		if here[id] = standing != gateway.Gone; here[id] {
			n.gone = time.Time{}
		}
		rate := l.Get("weight").Float()
		if !(rate > 0) {
			rate = 0
		}
		entries = append(entries, gateway.Entry{Endpoint: n.id, Standing: standing, Rate: rate,
			Destination: dest, Kind: gateway.KindID(index(names.Kinds, l.Get("machineType"))),
			Zone: gateway.ZoneID(index(names.Zones, l.Get("zone")))})
		addrs = append(addrs, addr)
	}
	r.generation = generation.Int()
	r.listed(entries, addrs, object.Get("reset").Bool())
	r.forget(here, object.Get("reset").Bool())
	return nil
}

// forget notes which endpoints are gone and drops the names of those long gone: with endpoints replaced
// all day long they would pile up.
func (r *Registry) forget(here map[string]bool, whole bool) {
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

var standings = map[string]gateway.Standing{"SERVING": gateway.Listed, "DRAINING": gateway.Draining,
	"DELETED": gateway.Gone}

// index is a name's index, or one past the last.
func index(names []string, name gjson.Result) int {
	if i := slices.Index(names, name.String()); i >= 0 {
		return i
	}
	return len(names)
}

// Follow watches until the process ends. A watch lasts until its connection ends, or has been silent for
// longer than it may be. None begins at once, nor does the first: a fleet starts, loses its watches and is
// moved together.
func (r *Registry) Follow() {
	for {
		addr, moved := r.place()
		select {
		case <-moved: // it was the old address that failed
			r.asks.Heard()
			continue
		case <-time.After(exchange.Span(r.asks.Next())):
		}
		ctx, end := context.WithCancel(context.Background())
		go func() {
			select {
			case <-moved:
				end()
			case <-ctx.Done():
			}
		}()
		slog.Debug("watch ended", "why", r.watch(ctx, addr))
		end()
	}
}

func (r *Registry) watch(ctx context.Context, addr string) error {
	c, err := (&net.Dialer{Timeout: deadAfter}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	defer context.AfterFunc(ctx, func() { c.Close() })()
	defer c.Close()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetHost(addr)
	req.SetRequestURI("/registry/instances?follow=1&since=" + strconv.FormatInt(r.generation, 10))
	in, out := bufio.NewReader(&alive{c}), bufio.NewWriter(c)
	if err := req.Write(out); err != nil {
		return err
	}
	if err := out.Flush(); err != nil {
		return err
	}
	resp.StreamBody = true
	if err := resp.Read(in); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("answered %d", resp.StatusCode())
	}
	lines := bufio.NewScanner(resp.BodyStream())
	lines.Buffer(nil, mostLine)
	for lines.Scan() {
		if len(lines.Bytes()) == 0 {
			continue
		}
		if !gjson.ValidBytes(lines.Bytes()) {
			err = fmt.Errorf("a list that is no JSON: %.80s", lines.Bytes())
		} else {
			err = r.Take(gjson.ParseBytes(lines.Bytes()))
		}
		if err != nil { // a change may be missed: a new watch starts from the last one that was read
			r.broken()
			slog.Warn("list not read", "why", err)
			return err
		}
		r.asks.Heard()
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.EOF
}

// alive gives each read the time in which a watch must have said something.
type alive struct{ net.Conn }

func (a *alive) Read(p []byte) (int, error) {
	if err := a.SetReadDeadline(time.Now().Add(deadAfter)); err != nil {
		return 0, err
	}
	return a.Conn.Read(p)
}
