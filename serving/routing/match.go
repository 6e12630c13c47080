package routing

import (
	"net"
	"strings"
)

// hostRoutes holds the routes of one host.
type hostRoutes struct {
	host     string
	routes   map[string]*Route // by prefix
	maxDepth int               // the largest number of slashes in a prefix
}

// add adds a route, or returns the route that already has its prefix.
func (h *hostRoutes) add(route *Route) (duplicate *Route) {
	if existing := h.routes[route.Prefix]; existing != nil {
		return existing
	}
	h.routes[route.Prefix] = route
	h.maxDepth = max(h.maxDepth, strings.Count(route.Prefix, "/"))
	return nil
}

// Match returns the route of a request: of the routes of the host, the one whose prefix is the longest that the path
// begins with. The host may have a port and is compared without regard to case. The path is the request's path as sent,
// without the query.
func (t *Table) Match(host, path string) (*Route, bool) {
	routes, found := t.byHost[host]
	if !found {
		routes, found = t.byHost[normalizeHost(host)]
	}
	if !found {
		return nil, false
	}
	return routes.longestMatch(path)
}

// longestMatch returns the route with the longest matching prefix. Since all prefixes end with a slash, it looks up only
// those leading parts of the path that do, the shortest first.
func (h *hostRoutes) longestMatch(path string) (longest *Route, found bool) {
	end := 0
	for range h.maxDepth {
		slash := strings.IndexByte(path[end:], '/')
		if slash < 0 {
			break
		}
		end += slash + 1
		if route := h.routes[path[:end]]; route != nil {
			longest = route
		}
	}
	return longest, longest != nil
}

// normalizeHost removes the port and lower-cases the name.
func normalizeHost(host string) string {
	if strings.IndexByte(host, ':') >= 0 {
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
	}
	return strings.ToLower(host)
}
