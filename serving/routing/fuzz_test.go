package routing

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// FuzzConfiguration checks that an accepted document is consistent, that Match finds the same routes as naiveMatch, and
// that the document gives the same table after another program has decoded and encoded it.
func FuzzConfiguration(f *testing.F) {
	f.Add([]byte(newTestDocument([][2]string{{"x.example", "/"}, {"X.example", "/a/"}, {"y.example", "/a/b/"}})), "/a/b/c")
	f.Add([]byte(`{"edition":7,"routings":[{"station":"x","lane_prefix":"//","line_type":"stream","timeout_ms":1e300,
		"split":[{"carrier":"s","share":0.1},{"carrier":"t","share":0}],"gap_aim_ms":3,"home_regions":["r"]}],
		"carriers":[{"name":"s","cold_s":1.5,"engine":{"berths":1}},{"name":"t"}],"limits":{"idle_ms":1}}`), "//")
	f.Add([]byte(`{"edition":18446744073709551615,"edition":1}`), "")
	f.Add([]byte(`{"edition":1e3,"routings":[{"station":"[::1]:80","lane_prefix":"/","carrier":"s"}],"carriers":[{"name":"s"}]}`), "/")
	f.Fuzz(func(t *testing.T, document []byte, path string) {
		table, err := Parse(document)
		if err != nil {
			assert.Nil(t, table)
			return
		}
		checkTable(t, table)
		for _, route := range table.Routes() {
			for _, requested := range []string{path, route.Prefix, route.Prefix + path, strings.TrimSuffix(route.Prefix, "/")} {
				want := naiveMatch(routesOfHost(table.Routes(), route.Host), route.Host, requested)
				found, matched := table.Match(route.Host, requested)
				require.Equal(t, want != "", matched, "%q %q", route.Host, requested)
				if matched {
					require.Equal(t, want, found.Prefix, "%q %q", route.Host, requested)
				}
			}
		}
		if reencoded, equivalent := reencode(document); equivalent {
			reparsed, err := Parse(reencoded)
			require.NoError(t, err)
			assert.Equal(t, table, reparsed, "%s", reencoded)
		}
	})
}

// routesOfHost returns the routes of one host, compared exactly. It keeps naiveMatch from comparing hosts itself, since
// strings.EqualFold also folds the case of letters other than ASCII.
func routesOfHost(routes []Route, host string) (ofHost []Route) {
	for _, route := range routes {
		if route.Host == host {
			ofHost = append(ofHost, route)
		}
	}
	return ofHost
}

// checkTable checks the invariants of a table that the rest of the system relies on.
func checkTable(t *testing.T, table *Table) {
	t.Helper()
	seen := map[[2]string]bool{}
	for _, route := range table.Routes() {
		key := [2]string{route.Host, route.Prefix}
		require.False(t, seen[key], "two routes for %v", key)
		seen[key] = true
		assert.NotEmpty(t, route.Services)
		for _, weighted := range route.Services {
			service, known := table.Service(weighted.Service)
			require.True(t, known)
			assert.Equal(t, weighted.Service, service.Name)
			assert.Positive(t, weighted.Weight)
		}
		assert.Positive(t, route.Timeout)
		assert.Positive(t, route.MaxAttempts)
		assert.GreaterOrEqual(t, int64(route.LatencyTarget), int64(0))
		assert.True(t, strings.HasPrefix(route.Prefix, "/") && strings.HasSuffix(route.Prefix, "/"))
	}
	for _, service := range table.Services() {
		assert.NotEmpty(t, service.Name)
		assert.GreaterOrEqual(t, service.WarmUpRate, 0.0)
		assert.GreaterOrEqual(t, service.MaxConnections, 0)
	}
	assert.Positive(t, table.Limits.MaxHeaderBytes)
	assert.Positive(t, table.Limits.MaxBodyBytes)
	assert.Positive(t, table.Limits.HeaderTimeout)
	assert.Positive(t, table.Limits.IdleTimeout)
}

// reencode returns the document as another program may write it: with its fields in another order and without spaces. It
// returns false for a document that JSON parsers may read differently (duplicate keys, invalid UTF-8, lone surrogates).
func reencode(document []byte) (reencoded []byte, equivalent bool) {
	if !utf8.Valid(document) || bytes.Contains(document, []byte(`\u`)) || hasDuplicateKeys(document) {
		return nil, false
	}
	decoder := json.NewDecoder(bytes.NewReader(document))
	decoder.UseNumber()
	var decoded any
	if decoder.Decode(&decoded) != nil {
		return nil, false
	}
	reencoded, err := json.Marshal(decoded)
	return reencoded, err == nil
}

// hasDuplicateKeys reports whether any object in the document has a key more than once.
func hasDuplicateKeys(document []byte) bool {
	decoder := json.NewDecoder(bytes.NewReader(document))
	decoder.UseNumber()
	type level struct {
		names   map[string]bool // keys so far; nil for a list
		isValue bool            // the next token is the value of a key
	}
	var open []level
	for {
		token, err := decoder.Token()
		if err != nil {
			return false
		}
		top := len(open) - 1
		if name, ok := token.(string); ok && top >= 0 && open[top].names != nil && !open[top].isValue {
			if open[top].names[name] {
				return true
			}
			open[top].names[name], open[top].isValue = true, true
			continue
		}
		switch token {
		case json.Delim('{'):
			open = append(open, level{names: map[string]bool{}})
			continue
		case json.Delim('['):
			open = append(open, level{})
			continue
		case json.Delim('}'), json.Delim(']'):
			open = open[:top]
		}
		if top = len(open) - 1; top >= 0 {
			open[top].isValue = false
		}
	}
}
