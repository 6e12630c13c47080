package placement

import (
	"sync"
	"time"

	"rowanlink/internal/mwcrand"
	"rowanlink/serving/routing"
	"rowanlink/serving/settings"
)

// Options are the settings of a picker.
type Options struct {
	Name      string // of this proxy's machine; its hash determines the subset and the warming-up endpoints it may use
	Zone      string
	Region    string
	Regions   map[string]string // region by zone
	Bounds    settings.Bounds
	Seed      uint64
	StartedAt time.Time // of the process; zero: the first Update
}

// Picker selects endpoints for one proxy. It is safe for concurrent use; its methods don't block.
type Picker struct {
	mutex      sync.Mutex
	options    Options
	nameHash   uint64
	random     *mwcrand.Source
	proxyCount int // the largest ever reported; zero: unknown

	routing           *routing.Table
	services          map[string]*service
	splits            map[string]*lowDiscrepancySequence // by the name of a split route
	endpoints         map[string]*endpoint               // by ID
	zones             map[string]*zone                   // by name
	evacuated         map[string]bool                    // by zone
	evacuationEndedAt map[string]time.Time               // by zone
	hasRecord         bool                               // a snapshot with a record has been applied
	chain             blockChain                         // of the request that Pick is processing; reused
	proxiesInRegion   int                                // including this one
	observedEndpoints []*endpoint                        // those with a pending observation
	rollouts          rollouts
}

// New returns a picker that knows of no endpoints.
func New(options Options) *Picker {
	return &Picker{
		options:           options,
		nameHash:          hashString(fnvOffset, options.Name),
		random:            mwcrand.New(options.Seed),
		services:          map[string]*service{},
		splits:            map[string]*lowDiscrepancySequence{},
		endpoints:         map[string]*endpoint{},
		zones:             map[string]*zone{},
		evacuated:         map[string]bool{},
		evacuationEndedAt: map[string]time.Time{},
		proxiesInRegion:   1,
		rollouts:          newRollouts(options.Seed),
	}
}

// SetBounds replaces the operator's limits, which may change while the process runs.
func (p *Picker) SetBounds(bounds settings.Bounds) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.options.Bounds = bounds
}

// ensureService returns the service with the name, and adds it if it is unknown.
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
