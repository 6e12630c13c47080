package routing

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// naiveMatch specifies Match by a simple implementation: it returns the longest prefix of the path among the prefixes of
// the host's routes, or an empty string if there is none.
func naiveMatch(routes []Route, host, path string) string {
	best := ""
	for _, route := range routes {
		if strings.EqualFold(route.Host, host) && strings.HasPrefix(path, route.Prefix) && len(route.Prefix) > len(best) {
			best = route.Prefix
		}
	}
	return best
}

func TestMatch_LongestPrefix(t *testing.T) {
	segments := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "ab", ""}), 0, 4)
	prefix := rapid.Custom(func(t *rapid.T) string {
		parts := segments.Draw(t, "parts")
		if len(parts) == 0 {
			return "/"
		}
		return "/" + strings.Join(parts, "/") + "/"
	})
	hostAndPrefix := rapid.Custom(func(t *rapid.T) [2]string {
		return [2]string{rapid.SampledFrom([]string{"x.example", "Y.example"}).Draw(t, "host"), prefix.Draw(t, "prefix")}
	})
	rapid.Check(t, func(t *rapid.T) {
		routes := rapid.SliceOfNDistinct(hostAndPrefix, 0, 12, rapid.ID[[2]string]).Draw(t, "places")
		table, err := Parse([]byte(newTestDocument(routes)))
		require.NoError(t, err)
		host := rapid.SampledFrom([]string{"x.example", "X.EXAMPLE", "y.example", "z.example"}).Draw(t, "host")
		path := "/" + strings.Join(segments.Draw(t, "path"), "/")
		want := naiveMatch(table.Routes(), host, path)
		for _, requested := range []string{host, host + ":8080"} {
			route, found := table.Match(requested, path)
			assert.Equal(t, want != "", found, "%s%s", requested, path)
			if found {
				assert.Equal(t, want, route.Prefix)
				assert.True(t, strings.EqualFold(host, route.Host))
			}
		}
	})
}

// newTestDocument returns a document with a route for each host and prefix.
func newTestDocument(hostsAndPrefixes [][2]string) string {
	var routes []string
	for index, route := range hostsAndPrefixes {
		routes = append(routes, fmt.Sprintf(`{"name":"r%d","station":%q,"lane_prefix":%q,"carrier":"s"}`, index,
			route[0], route[1]))
	}
	return `{"edition":1,"routings":[` + strings.Join(routes, ",") + `],"carriers":[{"name":"s"}]}`
}

func BenchmarkMatch_400Routes(b *testing.B) {
	table, err := Parse(newLargeDocument(400))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, found := table.Match("ficu95.example", "/p399/2f"); !found {
			b.Fatal("not found")
		}
	}
}
