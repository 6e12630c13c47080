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
	// pollInterval is the time between two readings. A report is some hundred milliseconds old itself.
	pollInterval = 500 * time.Millisecond
	// requestTimeout bounds one call.
	requestTimeout = 300 * time.Millisecond
	// maxConcurrentRequests bounds the calls under way.
	maxConcurrentRequests = 16
	// idleConnTimeout is shorter than endpoints keep idle connections.
	idleConnTimeout = 2 * time.Second
	// rolePrefix and the zone name the duty.
	rolePrefix = "loads/"
)

// Gossip is what a poller needs of the mesh.
type Gossip interface {
	AcquireRole(name string, scope singleton.Scope) singleton.Assignment
	Put(gossip.Entry)
}

// Options of a poller.
type Options struct {
	Zone      string
	Gossip    Gossip
	Endpoints func() []state.Endpoint // all that are known
	Log       *zerolog.Logger
}

// Poller reads the loads of its zone's language-model endpoints while it holds the duty.
type Poller struct {
	options Options
	client  *http.Client
	filter  changeFilter
	hasRole bool
}

// New makes a poller.
func New(options Options) *Poller {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, MaxConnsPerHost: 1, IdleConnTimeout: idleConnTimeout,
		DisableCompression: true}
	return &Poller{options: options, client: &http.Client{Transport: transport}}
}

// Run reads until the context ends.
func (p *Poller) Run(ctx context.Context) {
	ticks := time.NewTicker(pollInterval)
	defer ticks.Stop()
	defer p.client.CloseIdleConnections()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
			p.pollOnce(ctx)
		}
	}
}

// pollOnce reads once if the duty is this member's.
func (p *Poller) pollOnce(ctx context.Context) {
	scope := singleton.Scope{Role: state.RoleAgent, Zone: p.options.Zone}
	holding := p.options.Gossip.AcquireRole(rolePrefix+p.options.Zone, scope)
	if holding.Local != p.hasRole {
		p.hasRole = holding.Local
		event.LoadPollerRoleChanged.Log(p.options.Log).Bool("mine", p.hasRole).Uint64("epoch", holding.Epoch).Send()
	}
	if !holding.Local {
		return
	}
	chosen := p.selectEndpoints()
	reports := p.fetchReports(ctx, chosen)
	p.filter.beginRound(holding.Epoch)
	p.filter.retain(chosen)
	for i, endpoint := range chosen {
		if reports[i] == nil {
			continue
		}
		if load, tell := p.filter.accept(endpoint, *reports[i]); tell {
			p.publishLoad(holding.Epoch, load)
		}
	}
}

// selectEndpoints returns the zone's endpoints that serve models and take requests.
func (p *Poller) selectEndpoints() (chosen []state.Endpoint) {
	for _, endpoint := range p.options.Endpoints() {
		if endpoint.Zone == p.options.Zone && endpoint.State == state.EndpointAccepting && !endpoint.Unresponsive &&
			len(endpoint.Models) > 0 {
			chosen = append(chosen, endpoint)
		}
	}
	return chosen
}

// fetchReports asks endpoints for their reports; nil stands for no answer. An endpoint that doesn't answer says nothing of
// its load, and its health is judged elsewhere.
func (p *Poller) fetchReports(ctx context.Context, chosen []state.Endpoint) []*report {
	reports := make([]*report, len(chosen))
	places := make(chan struct{}, maxConcurrentRequests)
	var all sync.WaitGroup
	for i, endpoint := range chosen {
		places <- struct{}{}
		all.Go(func() {
			defer func() { <-places }()
			limited, cancel := context.WithTimeout(ctx, requestTimeout)
			defer cancel()
			if said, err := fetchReport(limited, p.client, endpoint.Address); err == nil {
				reports[i] = &said
			}
		})
	}
	all.Wait()
	return reports
}

// publishLoad spreads a load. The duty's epoch goes first in its version: a holder of the past can't overrule a later one.
func (p *Poller) publishLoad(epoch uint64, load state.Load) {
	value, err := cbor.Marshal(load)
	if err != nil {
		return
	}
	p.options.Gossip.Put(gossip.Entry{Table: gossip.TableLoads, Key: load.EndpointID,
		Version: gossip.NewVersion(epoch, load.Measurement), Value: value})
}
