package loadreport

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"rowanlink/serving/event"
	"rowanlink/serving/gossip"
	"rowanlink/serving/singleton"
	"rowanlink/serving/state"
)

const (
	// interval is the time between two readings. A report is some hundred milliseconds old itself.
	interval = 500 * time.Millisecond
	// askTimeout bounds one call.
	askTimeout = 300 * time.Millisecond
	// askedAtOnce bounds the calls under way.
	askedAtOnce = 16
	// idleLimit is shorter than endpoints keep idle connections.
	idleLimit = 2 * time.Second
	// dutyPrefix and the zone name the duty.
	dutyPrefix = "loads/"
)

// Mesh is what a poller needs of the mesh.
type Mesh interface {
	AcquireRole(name string, scope singleton.Scope) singleton.Assignment
	Put(gossip.Entry)
}

// Options of a poller.
type Options struct {
	Zone      string
	Mesh      Mesh
	Endpoints func() []state.Endpoint // all that are known
	Log       *zerolog.Logger
}

// Poller reads the loads of its zone's language-model endpoints while it holds the duty.
type Poller struct {
	options Options
	client  *http.Client
	reader  reader
	mine    bool
}

// New makes a poller.
func New(options Options) *Poller {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, MaxConnsPerHost: 1, IdleConnTimeout: idleLimit,
		DisableCompression: true}
	return &Poller{options: options, client: &http.Client{Transport: transport}}
}

// Run reads until the context ends.
func (p *Poller) Run(ctx context.Context) {
	ticks := time.NewTicker(interval)
	defer ticks.Stop()
	defer p.client.CloseIdleConnections()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
			p.round(ctx)
		}
	}
}

// round reads once if the duty is this member's.
func (p *Poller) round(ctx context.Context) {
	scope := singleton.Scope{Role: state.RoleAgent, Zone: p.options.Zone}
	holding := p.options.Mesh.AcquireRole(dutyPrefix+p.options.Zone, scope)
	if holding.Local != p.mine {
		p.mine = holding.Local
		event.LoadPollerRoleChanged.Log(p.options.Log).Bool("mine", p.mine).Uint64("epoch", holding.Epoch).Send()
	}
	if !holding.Local {
		return
	}
	chosen := p.choose()
	reports := p.askAll(ctx, chosen)
	p.reader.begin(holding.Epoch)
	p.reader.keep(chosen)
	for i, endpoint := range chosen {
		if reports[i] == nil {
			continue
		}
		if load, tell := p.reader.take(endpoint, *reports[i]); tell {
			p.tell(holding.Epoch, load)
		}
	}
}

// choose returns the zone's endpoints that serve models and take requests.
func (p *Poller) choose() (chosen []state.Endpoint) {
	for _, endpoint := range p.options.Endpoints() {
		if endpoint.Zone == p.options.Zone && endpoint.State == state.EndpointAccepting && !endpoint.Unresponsive &&
			len(endpoint.Models) > 0 {
			chosen = append(chosen, endpoint)
		}
	}
	return chosen
}

// askAll asks endpoints for their reports; nil stands for no answer. An endpoint that doesn't answer says nothing of
// its load, and its health is judged elsewhere.
func (p *Poller) askAll(ctx context.Context, chosen []state.Endpoint) []*report {
	reports := make([]*report, len(chosen))
	places := make(chan struct{}, askedAtOnce)
	var all sync.WaitGroup
	for i, endpoint := range chosen {
		places <- struct{}{}
		all.Go(func() {
			defer func() { <-places }()
			limited, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			if said, err := ask(limited, p.client, endpoint.Address); err == nil {
				reports[i] = &said
			}
		})
	}
	all.Wait()
	return reports
}

// tell spreads a load. The duty's epoch goes first in its version: a holder of the past can't overrule a later one.
func (p *Poller) tell(epoch uint64, load state.Load) {
	value, err := cbor.Marshal(load)
	if err != nil {
		return
	}
	p.options.Mesh.Put(gossip.Entry{Table: gossip.TableLoads, Key: load.EndpointID,
		Version: gossip.NewVersion(epoch, load.Measurement), Value: value})
}
