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
	// pollInterval is the time between two rounds of polls. Polling more often would gain little, since the data in a
	// report are some hundred milliseconds old.
	pollInterval = 500 * time.Millisecond
	// requestTimeout limits the duration of one request.
	requestTimeout = 300 * time.Millisecond
	// maxConcurrentRequests limits the number of requests in flight.
	maxConcurrentRequests = 16
	// idleConnTimeout is shorter than the time for which endpoints keep idle connections open, so that no request is
	// sent on a connection that the endpoint is closing.
	idleConnTimeout = 2 * time.Second
	// rolePrefix and the zone form the name of the singleton role.
	rolePrefix = "loads/"
)

// Gossip is the part of member.Service that a poller uses.
type Gossip interface {
	AcquireRole(name string, scope singleton.Scope) singleton.Assignment
	Put(gossip.Entry)
}

// Options configures a Poller.
type Options struct {
	Zone      string
	Gossip    Gossip
	Endpoints func() []state.Endpoint // returns all known endpoints
	Log       *zerolog.Logger
}

// Poller polls the loads of its zone's language-model endpoints while the zone's singleton role is assigned to this
// member, so that one member polls for the whole zone.
type Poller struct {
	options Options
	client  *http.Client
	filter  changeFilter
	hasRole bool
}

// New returns a poller.
func New(options Options) *Poller {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 1,
		MaxConnsPerHost:     1,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
	return &Poller{
		options: options,
		client:  &http.Client{Transport: transport},
	}
}

// Run polls until the context ends.
func (p *Poller) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	defer p.client.CloseIdleConnections()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.pollOnce(ctx)
		}
	}
}

// pollOnce polls the endpoints once if this member holds the role.
func (p *Poller) pollOnce(ctx context.Context) {
	scope := singleton.Scope{Role: state.RoleAgent, Zone: p.options.Zone}
	assignment := p.options.Gossip.AcquireRole(rolePrefix+p.options.Zone, scope)
	if assignment.Local != p.hasRole {
		p.hasRole = assignment.Local
		event.LoadPollerRoleChanged.Log(p.options.Log).Bool("mine", p.hasRole).Uint64("epoch", assignment.Epoch).Send()
	}
	if !assignment.Local {
		return
	}
	polled := p.selectEndpoints()
	reports := p.fetchReports(ctx, polled)
	p.filter.beginRound(assignment.Epoch)
	p.filter.retain(polled)
	for i, endpoint := range polled {
		if reports[i] == nil {
			continue
		}
		if load, changed := p.filter.accept(endpoint, *reports[i]); changed {
			p.publishLoad(assignment.Epoch, load)
		}
	}
}

// selectEndpoints returns the zone's endpoints that serve models and accept requests.
func (p *Poller) selectEndpoints() (selected []state.Endpoint) {
	for _, endpoint := range p.options.Endpoints() {
		isAccepting := endpoint.State == state.EndpointAccepting && !endpoint.Unresponsive
		if endpoint.Zone == p.options.Zone && isAccepting && len(endpoint.Models) > 0 {
			selected = append(selected, endpoint)
		}
	}
	return selected
}

// fetchReports requests a report from each endpoint and returns the reports in the same order. A report is nil if the
// request failed: a failure says nothing about the load, and health checks are done elsewhere.
func (p *Poller) fetchReports(ctx context.Context, polled []state.Endpoint) []*report {
	reports := make([]*report, len(polled))
	semaphore := make(chan struct{}, maxConcurrentRequests)
	var requests sync.WaitGroup
	for i, endpoint := range polled {
		semaphore <- struct{}{}
		requests.Go(func() {
			defer func() { <-semaphore }()
			limited, cancel := context.WithTimeout(ctx, requestTimeout)
			defer cancel()
			if fetched, err := fetchReport(limited, p.client, endpoint.Address); err == nil {
				reports[i] = &fetched
			}
		})
	}
	requests.Wait()
	return reports
}

// publishLoad gossips a load. The role's epoch is the major part of the version, so that a former holder of the role
// can't overwrite the loads of a later one.
func (p *Poller) publishLoad(epoch uint64, load state.Load) {
	value, err := cbor.Marshal(load)
	if err != nil {
		return
	}
	p.options.Gossip.Put(gossip.Entry{
		Table:   gossip.TableLoads,
		Key:     load.EndpointID,
		Version: gossip.NewVersion(epoch, load.Measurement),
		Value:   value,
	})
}
