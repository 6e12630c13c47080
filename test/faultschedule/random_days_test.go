package main

import (
	"testing"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/require"
)

const exampleSite = `name = "example"
length_s = 30.0
zones = [ { name = "z1", region = "a" }, { name = "z2", region = "b" } ]
services = [ { name = "model", model = "llm" } ]
classes = [ { name = "chat" } ]
[[day]]
name = "one"
traffic = [
  { zone = "z1", per_s = 3.0 },
]
`

func TestRandomDays_SameForASeed(t *testing.T) {
	from, err := parseSite([]byte(exampleSite))
	require.NoError(t, err)
	options := &commandLine{Seed: 5, Days: 40, Least: 3, Most: 8}
	first := randomDays(from, options)
	require.Equal(t, first, randomDays(from, options))
	options.Seed = 6
	require.NotEqual(t, first, randomDays(from, options))
}

func TestRandomDays_ParseAndStayInTime(t *testing.T) {
	from, err := parseSite([]byte(exampleSite))
	require.NoError(t, err)
	for _, control := range []bool{false, true} {
		text := from.deployment + randomDays(from, &commandLine{Seed: 1, Days: 200, Least: 3, Most: 8, Control: control})
		requireDaysInTheirTime(t, from, text)
	}
}

// requireDaysInTheirTime parses the days, and checks the times of their faults and the number of their kinds.
func requireDaysInTheirTime(t *testing.T, from *site, text string) {
	t.Helper()
	type entry struct {
		At   float64
		Kind string
	}
	var read struct {
		Day []struct {
			Plan, Faults []entry
			Traffic      []entry
		}
	}
	require.NoError(t, toml.Unmarshal([]byte(text), &read))
	require.Len(t, read.Day, 200)
	seen := map[string]bool{}
	for _, day := range read.Day {
		require.Len(t, day.Traffic, 1)
		for _, fault := range append(day.Plan, day.Faults...) {
			require.NotEmpty(t, fault.Kind)
			require.Less(t, fault.At, from.Length)
			seen[fault.Kind] = true
		}
	}
	require.GreaterOrEqual(t, len(seen), 20)
}

func TestParseSite_WithoutDays(t *testing.T) {
	_, err := parseSite([]byte("name = \"x\"\n"))
	require.Error(t, err)
}
