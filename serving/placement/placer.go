package placement

import (
	"sync"
	"time"

	"rowanlink/internal/mwcrand"
	"rowanlink/serving/routing"
	"rowanlink/serving/state"
)

// Placer chooses endpoints for one proxy. It is safe for use by several goroutines; calls are short.
type Placer struct {
	mutex    sync.Mutex
	options  Options
	nameHash uint64
	random   *mwcrand.Source
	proxies  int // the most that were told of

	routing   *routing.Table
	services  map[string]*service
	endpoints map[string]*endpoint // by ID
	zones     map[string]*zone     // by name
	evacuated map[string]bool      // by zone
	reopened  map[string]time.Time // by zone: when its last evacuation was taken back
	viewed    bool                 // a record has come
	chain     chain                // of the request in hand
	near      int                  // proxies in this one's region, itself included
	observed  []*endpoint          // those of which there is something to tell
}

// New makes a placer that knows nothing yet.
func New(options Options) *Placer {
	return &Placer{
		options:   options,
		nameHash:  hashText(hashStart, options.Name),
		random:    mwcrand.New(options.Seed),
		services:  map[string]*service{},
		endpoints: map[string]*endpoint{},
		zones:     map[string]*zone{},
		evacuated: map[string]bool{},
		reopened:  map[string]time.Time{},
		near:      1,
	}
}

// Update takes in what the system knows now, whole.
func (p *Placer) Update(now time.Time, view View) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.options.Started.IsZero() {
		p.options.Started = now
	}
	p.countProxies(view.Proxies)
	p.configure(view.Routing)
	for _, known := range p.services {
		known.shareConnections(p.proxies)
	}
	p.evacuate(now, view.Record)
	p.replace(now, view.Endpoints)
	for _, load := range view.Loads {
		p.takeLoad(now, load)
	}
}

// configure points the services at a new configuration.
func (p *Placer) configure(table *routing.Table) {
	if table == p.routing {
		return
	}
	p.routing = table
	for name, known := range p.services {
		known.config = configOf(table, name)
	}
}

func (p *Placer) service(name string) *service {
	known := p.services[name]
	if known == nil {
		known = newService(name)
		known.config = configOf(p.routing, name)
		known.shareConnections(p.proxies)
		p.services[name] = known
	}
	return known
}

func configOf(table *routing.Table, name string) *routing.Service {
	if table == nil {
		return nil
	}
	config, _ := table.Service(name)
	return config
}

// evacuate takes in the record's evacuations. The endpoints of a zone that comes back may have turned cold.
func (p *Placer) evacuate(now time.Time, record *state.Record) {
	if record == nil {
		return
	}
	for _, evacuation := range record.Evacuations {
		ended := !evacuation.Active && (p.evacuated[evacuation.Zone] || !p.viewed)
		p.evacuated[evacuation.Zone] = evacuation.Active
		if ended {
			p.reopen(now, evacuation.Zone)
		}
	}
	p.viewed = true
}
