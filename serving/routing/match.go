package routing

import (
	"net"
	"strings"
)

// hostRoutes holds the routes of one host.
type hostRoutes struct {
	host     string
	routes   map[string]*Route // by prefix
	maxDepth int               // the most slashes in a prefix
}

// add takes a route in. It returns the route that has its prefix already, else nil.
func (p *hostRoutes) add(route *Route) (other *Route) {
	if other := p.routes[route.Prefix]; other != nil {
		return other
	}
	p.routes[route.Prefix] = route
	p.maxDepth = max(p.maxDepth, strings.Count(route.Prefix, "/"))
	return nil
}

// Match returns the route of a request: the one of the host whose prefix is the longest that begins the path. The
// host may have a port and is compared without regard to case. The path is the request's as sent, without query.
func (t *Table) Match(host, path string) (*Route, bool) {
	known, ok := t.byHost[host]
	if !ok {
		known, ok = t.byHost[normalizeHost(host)]
	}
	if !ok {
		return nil, false
	}
	return known.longestMatch(path)
}

// longestMatch looks at each part of the path that ends with a slash, as prefixes do, the shortest first.
func (p *hostRoutes) longestMatch(path string) (found *Route, ok bool) {
	end := 0
	for range p.maxDepth {
		next := strings.IndexByte(path[end:], '/')
		if next < 0 {
			break
		}
		end += next + 1
		if route := p.routes[path[:end]]; route != nil {
			found = route
		}
	}
	return found, found != nil
}

// normalizeHost cuts the port off and turns capitals into small letters.
func normalizeHost(host string) string {
	if strings.IndexByte(host, ':') >= 0 {
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
	}
	return strings.ToLower(host)
}
