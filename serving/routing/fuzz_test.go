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

// FuzzConfiguration: what is taken is consistent, finds routes as the naive rule does, and means the same when another
// writer has written it again.
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
			for _, asked := range []string{path, route.Prefix, route.Prefix + path, strings.TrimSuffix(route.Prefix, "/")} {
				want := naiveMatch(routesOfHost(table.Routes(), route.Host), route.Host, asked)
				found, matched := table.Match(route.Host, asked)
				require.Equal(t, want != "", matched, "%q %q", route.Host, asked)
				if matched {
					require.Equal(t, want, found.Prefix, "%q %q", route.Host, asked)
				}
			}
		}
		if again, same := reencode(document); same {
			other, err := Parse(again)
			require.NoError(t, err)
			assert.Equal(t, table, other, "%s", again)
		}
	})
}

// routesOfHost leaves the naive rule only the routes of one host: it folds letters that are no ASCII otherwise.
func routesOfHost(routes []Route, host string) (same []Route) {
	for _, route := range routes {
		if route.Host == host {
			same = append(same, route)
		}
	}
	return same
}

// checkTable checks what the rest of the system takes for granted.
func checkTable(t *testing.T, table *Table) {
	seen := map[[2]string]bool{}
	for _, route := range table.Routes() {
		place := [2]string{route.Host, route.Prefix}
		require.False(t, seen[place], "two routes at %v", place)
		seen[place] = true
		assert.NotEmpty(t, route.Services)
		for _, share := range route.Services {
			service, known := table.Service(share.Service)
			require.True(t, known)
			assert.Equal(t, share.Service, service.Name)
			assert.Positive(t, share.Weight)
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

// reencode is the document as another program writes it: with its fields in another order and without spaces. Where
// programs read JSON differently (a name twice in one object, broken UTF-8, halves of pairs), there is none.
func reencode(document []byte) (again []byte, same bool) {
	if !utf8.Valid(document) || bytes.Contains(document, []byte(`\u`)) || hasDuplicateKeys(document) {
		return nil, false
	}
	decoder := json.NewDecoder(bytes.NewReader(document))
	decoder.UseNumber()
	var whole any
	if decoder.Decode(&whole) != nil {
		return nil, false
	}
	again, err := json.Marshal(whole)
	return again, err == nil
}

// hasDuplicateKeys tells whether some object may name a field twice: whether any text stands before a colon twice in one.
func hasDuplicateKeys(document []byte) bool {
	decoder := json.NewDecoder(bytes.NewReader(document))
	decoder.UseNumber()
	type level struct {
		names   map[string]bool // nil: a list
		isValue bool
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
