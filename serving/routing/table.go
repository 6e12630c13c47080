package routing

import (
	"math"

	"rowanlink/serving/errcode"
)

const (
	// fractionalWeightScale is the factor by which weights are multiplied before they are rounded to integers if one of
	// them has a fraction.
	fractionalWeightScale = 1_000_000
	// maxWeight is the largest weight before scaling. Larger weights are reduced to it.
	maxWeight = 1_000_000_000
)

// Table is a validated configuration. It is immutable and safe for concurrent use.
type Table struct {
	Version uint64
	Limits  Limits

	routes   []Route
	services []Service
	byName   map[string]*Service    // services
	byHost   map[string]*hostRoutes // by normalized host
}

// Parse parses and validates a configuration document. Errors are those of package errcode with numbers 400 to 405;
// they name the route or service and the invalid field.
func Parse(text []byte) (*Table, error) {
	var parsed document
	if err := documentFields.Parse(text, &parsed); err != nil {
		return nil, err
	}
	table := &Table{Version: parsed.version, Limits: parsed.limits, services: parsed.services}
	if err := table.indexServices(); err != nil {
		return nil, err
	}
	table.routes = make([]Route, len(parsed.routes))
	for index := range parsed.routes {
		route := &parsed.routes[index]
		if err := table.resolveServices(route); err != nil {
			return nil, err
		}
		table.routes[index] = route.Route
	}
	if err := table.indexRoutes(); err != nil {
		return nil, err
	}
	return table, nil
}

func (t *Table) indexServices() error {
	t.byName = make(map[string]*Service, len(t.services))
	for index := range t.services {
		service := &t.services[index]
		if t.byName[service.Name] != nil {
			return errcode.DuplicateService.With("carrier %q", service.Name)
		}
		t.byName[service.Name] = service
	}
	return nil
}

// resolveServices validates the services that a route names and sets Route.Services with their weights. If a route has a
// single service and a split, both are validated and the split counts. Services with weight 0 are left out.
func (t *Table) resolveServices(route *routeDocument) error {
	if route.service != "" || len(route.split) == 0 {
		service := t.byName[route.service]
		if service == nil {
			return errcode.ServiceUnknown.With("routing %q: carrier %q", route.Name, route.service)
		}
		route.Services = []WeightedService{{Service: service.Name, Weight: 1}}
	}
	if len(route.split) == 0 {
		return nil
	}
	return t.resolveSplit(route)
}

func (t *Table) resolveSplit(route *routeDocument) error {
	scale := weightScale(route.split)
	route.Services = make([]WeightedService, 0, len(route.split))
	for _, share := range route.split {
		service := t.byName[share.service]
		if service == nil {
			return errcode.ServiceUnknown.With("routing %q: split: carrier %q", route.Name, share.service)
		}
		weight := int(math.Round(min(share.weight, maxWeight) * scale))
		if weight > 0 {
			route.Services = append(route.Services, WeightedService{Service: service.Name, Weight: weight})
		}
	}
	if len(route.Services) == 0 {
		return errcode.RouteWithoutWeight.With("routing %q: split", route.Name)
	}
	return nil
}

// weightScale returns the factor by which the weights of a split are multiplied before they are rounded to integers: 1,
// or fractionalWeightScale if one of them has a fraction.
func weightScale(split []weightedServiceDocument) float64 {
	for _, share := range split {
		if share.weight != math.Trunc(share.weight) {
			return fractionalWeightScale
		}
	}
	return 1
}

func (t *Table) indexRoutes() error {
	t.byHost = make(map[string]*hostRoutes)
	for index := range t.routes {
		route := &t.routes[index]
		host := normalizeHost(route.Host)
		routes := t.byHost[host]
		if routes == nil {
			routes = &hostRoutes{host: host, routes: make(map[string]*Route)}
			t.byHost[host] = routes
		}
		route.Host = routes.host // shares the string
		if duplicate := routes.add(route); duplicate != nil {
			return errcode.DuplicateRoute.With("routings %q and %q: station %q, lane_prefix %q", duplicate.Name,
				route.Name, route.Host, route.Prefix)
		}
	}
	return nil
}

// Service returns a service by name.
func (t *Table) Service(name string) (*Service, bool) {
	service, found := t.byName[name]
	return service, found
}

// Routes returns all routes in the document's order. The caller must not change them.
func (t *Table) Routes() []Route { return t.routes }

// Services returns all services in the document's order. The caller must not change them.
func (t *Table) Services() []Service { return t.services }
