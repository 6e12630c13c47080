package placement

import (
	"sync"
	"time"

	"rowanlink/internal/mwcrand"
	"rowanlink/serving/routing"
	"rowanlink/serving/state"
)

// Picker chooses endpoints for one proxy. It is safe for use by several goroutines; calls are short.
type Picker struct {
	mutex      sync.Mutex
	options    Options
	nameHash   uint64
	random     *mwcrand.Source
	proxyCount int // the most that were told of

	routing           *routing.Table
	services          map[string]*service
	endpoints         map[string]*endpoint // by ID
	zones             map[string]*zone     // by name
	evacuated         map[string]bool      // by zone
	evacuationEndedAt map[string]time.Time // by zone: when its last evacuation was taken back
	hasRecord         bool                 // a record has come
	chain             blockChain           // of the request in hand
	proxiesInRegion   int                  // proxies in this one's region, itself included
	observedEndpoints []*endpoint          // those of which there is something to tell
}

// New makes a placer that knows nothing yet.
func New(options Options) *Picker {
	return &Picker{
		options:           options,
		nameHash:          hashString(fnvOffset, options.Name),
		random:            mwcrand.New(options.Seed),
		services:          map[string]*service{},
		endpoints:         map[string]*endpoint{},
		zones:             map[string]*zone{},
		evacuated:         map[string]bool{},
		evacuationEndedAt: map[string]time.Time{},
		proxiesInRegion:   1,
	}
}

// Update takes in what the system knows now, whole.
func (p *Picker) Update(now time.Time, view Snapshot) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.options.StartedAt.IsZero() {
		p.options.StartedAt = now
	}
	p.updateProxyCount(view.Proxies)
	p.applyRouting(view.Routing)
	for _, known := range p.services {
		known.updateConnectionLimit(p.proxyCount)
	}
	p.applyEvacuations(now, view.Record)
	p.replaceEndpoints(now, view.Endpoints)
	for _, load := range view.Loads {
		p.updateLoad(now, load)
	}
}

// applyRouting points the services at a new configuration.
func (p *Picker) applyRouting(table *routing.Table) {
	if table == p.routing {
		return
	}
	p.routing = table
	for name, known := range p.services {
		known.config = serviceConfig(table, name)
	}
}

func (p *Picker) ensureService(name string) *service {
	known := p.services[name]
	if known == nil {
		known = newService(name)
		known.config = serviceConfig(p.routing, name)
		known.updateConnectionLimit(p.proxyCount)
		p.services[name] = known
	}
	return known
}

func serviceConfig(table *routing.Table, name string) *routing.Service {
	if table == nil {
		return nil
	}
	config, _ := table.Service(name)
	return config
}

// applyEvacuations takes in the record's evacuations. The endpoints of a zone that comes back may have turned cold.
func (p *Picker) applyEvacuations(now time.Time, record *state.Record) {
	if record == nil {
		return
	}
	for _, evacuation := range record.Evacuations {
		ended := !evacuation.Active && (p.evacuated[evacuation.Zone] || !p.hasRecord)
		p.evacuated[evacuation.Zone] = evacuation.Active
		if ended {
			p.endEvacuation(now, evacuation.Zone)
		}
	}
	p.hasRecord = true
}
