package experiment

import (
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/webhook/api"
	"rowanlink/webhook/policy"
)

func TestParse_ErrorsHaveTheirPlace(t *testing.T) {
	for _, c := range []struct{ change, to, want string }{
		{"slots = 12", "slotz = 12", "small.toml:7: dispatchers.slotz: unknown key"},
		{"slots = 12", "slots = 0", "small.toml:7: dispatchers.slots: must be 1 or more"},
		{`answer = "100ms"`, `answer = "100"`, `small.toml:26: kind.answer: "100" is no time`},
		{`answer = "100ms"`, `answer = "10ns"`, `kind.answer: "10ns" is not a time of whole microseconds`},
		{`answer = "100ms"`, `answer = 100`, "small.toml:26: kind.0.answer: 100 has no unit"},
		{"endpoints = [1, 2]", "endpoints = [2, 1]", "small.toml:25: kind.0.endpoints: must be [from, to]"},
		{"endpoints = [1, 2]", "endpoints = [1, 2, 3]", "small.toml:25: kind.0.endpoints: must be [from, to]"},
		{"count = 6", "count = 0", "small.toml:16: destinations.count: 0 is not from 1 to 1048576"},
		{"[[event]]", "[[event]]\nrepeat = \"twice\"", `small.toml:19: event.0.repeat: "twice" is none of`},
		{"[[event]]", "[[event]]\nordered = true", "small.toml:18: event.0.keys: an ordered event type needs"},
		{"[clients]", "[clients", "small.toml:11: "},
		{"[clients]", "[[trouble]]\nkind = \"hang\"\n[clients]", "12: trouble.0.kind: hang strikes nobody"},
		{"[clients]", "[[trouble]]\nkind = \"fire\"\n[clients]", `:12: trouble.0.kind: "fire" is no kind`},
		{"[clients]", "[[trouble]]\nkind = \"lost\"\nbusiest = 1\nsize = 2.0\n[clients]",
			"small.toml:14: trouble.0.size: must be a share of at most 1"},
		{"[clients]", "[[trouble]]\nkind = \"kill\"\ndispatchers = [2]\n[clients]",
			"small.toml:13: trouble.0.dispatchers: 2 is not under dispatchers.count"},
		{"[clients]", "[[trouble]]\nkind = \"restart\"\ndispatchers = [1]\nin_turn = true\n[clients]",
			"small.toml:14: trouble.0.in_turn: goes with kill only"},
		{"[clients]", "[homes]\nhop = 2.0\n[clients]", "small.toml:11: homes.term: must be over 0 where there are"},
		{"[clients]", "[homes]\nterm = 3\n[clients]", "small.toml:12: homes.term: 3 has no unit"},
		{"[clients]", "[homes]\nterm = \"3s\"\nlost = 1.0\n[clients]",
			"small.toml:13: homes.lost: must be a share"},
		{"[[event]]", "[homes]\nterm = \"3s\"\n[[event]]\nordered = true\nkeys = 3",
			"event.0.ordered: not with homes"},
	} {
		_, err := Parse("small.toml", []byte(small(c.change, c.to)))
		if assert.Error(t, err, c.to) {
			assert.Contains(t, err.Error(), c.want)
		}
	}
	_, err := Parse("small.toml", []byte(small("slots = 12", "slots = 0", "rate = 60", "rate = -1")))
	assert.Len(t, strings.Split(err.Error(), "\n"), 2, "all that is wrong is told at once")
}

func TestMarshal_RoundTrip(t *testing.T) {
	for _, file := range examples(t) {
		s, err := Load(file)
		require.NoError(t, err)
		text, err := Marshal(s)
		require.NoError(t, err)
		assert.Equal(t, s, parsed(t, string(text)), file)
	}
}

func examples(t *testing.T) []string {
	t.Helper()
	var files []string
	for _, pattern := range []string{"../../examples/experiments/*.toml", "../../examples/experiments/homes/*.toml"} {
		some, err := filepath.Glob(pattern)
		require.NoError(t, err)
		require.NotEmpty(t, some)
		files = append(files, some...)
	}
	return files
}

func TestExamples_DefaultPolicyKeepsInvariantsAndClaims(t *testing.T) {
	files := examples(t)
	Parallel(runtime.GOMAXPROCS(0), len(files), func(i int) {
		s, err := Load(files[i])
		if !assert.NoError(t, err) {
			return
		}
		if s.Dispatchers.Count*s.Destinations.Count > 100_000 { // by hand at full size: docs/experiments.md
			s.Destinations.Count, s.Duration = 2000, 20_000_000
			s.Destinations.Active = min(s.Destinations.Active, 2000)
			s.Dispatchers.Count = min(s.Dispatchers.Count, 50)
		}
		r, err := Run(s, DefaultPolicy, false)
		assert.NoError(t, err)
		assert.Empty(t, r.FirstViolations, s.Name)
		assert.Zero(t, r.Unfinished, s.Name)
		assert.Positive(t, r.InTime, s.Name)
		for _, c := range r.Claims {
			assert.True(t, c.Holds, "%s: %s: %s", s.Name, c.Name, c.Text)
		}
	})
}

func TestRun_RepeatsExactlyInParallelToo(t *testing.T) {
	s := parsed(t, small("[clients]", `[[trouble]]
kind = "kill"
at = "3s"
for = "1s"
dispatchers = [0]

[[trouble]]
kind = "hang"
at = "2s"
for = "3s"
busiest = 2

[clients]
clumps = 0.1`))
	tables := func() string {
		r, err := Run(s, DefaultPolicy, false)
		assert.NoError(t, err)
		dir := t.TempDir()
		assert.NoError(t, Save(dir, s, r))
		return read(t, dir, "seconds.csv") + read(t, dir, "destinations.csv") + read(t, dir, "cold.csv") +
			read(t, dir, "summary.json")
	}
	alone := tables()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(0))
	for _, cores := range []int{1, 4} {
		runtime.GOMAXPROCS(cores)
		Parallel(8, 8, func(int) { assert.Equal(t, alone, tables()) })
	}
	other := *s
	other.Seed = 2
	s = &other
	csv := func(all string) string { return all[:strings.Index(all, "{")] } // the summary names the seed
	assert.NotEqual(t, csv(alone), csv(tables()), "another seed is another run")
}

func TestRun_PoliciesHaveTheSameArrivals(t *testing.T) {
	var offered []int
	for _, p := range Policies() {
		r, err := Run(parsed(t, small()), p, false)
		require.NoError(t, err)
		offered = append(offered, r.Offered)
		assert.Zero(t, r.Unfinished, p)
		assert.Empty(t, r.Violations["lost"]+r.Violations["twice"]+r.Violations["wait"]+r.Violations["drain"]+r.Violations["order"], p)
	}
	for _, n := range offered {
		assert.Equal(t, offered[0], n)
	}
	_, err := Run(parsed(t, small()), "best", false)
	assert.ErrorContains(t, err, `no policy is called "best"`)
}

// drainMutant takes draining endpoints for active ones, which shows only where endpoints are replaced.
type drainMutant struct{ api.Policy }

func (d drainMutant) UpdateEndpoints(list []api.EndpointEntry, whole bool) {
	changed := make([]api.EndpointEntry, len(list))
	for i, e := range list {
		e.Status = api.EndpointActive
		changed[i] = e
	}
	d.Policy.UpdateEndpoints(changed, whole)
}

func TestSearch_FindsAndShrinksAMutant(t *testing.T) {
	start := func(f api.Settings, h api.Host) api.Policy { return drainMutant{policy.New(f, h)} }
	base := parsed(t, small(`length = "8s"`, `length = "20s"`))
	h := &Search{NewPolicy: start, Runs: 60, Seed: 2, OnRun: func() {}}
	f := h.FindWorst(base)
	assert.Equal(t, "drain", f.Invariant)
	assert.LessOrEqual(t, f.Runs, 120)
	assert.Positive(t, f.ShrinkSteps)
	require.Len(t, f.Scenario.Faults, 1)
	assert.Equal(t, "replace", f.Scenario.Faults[0].Kind)

	// The file repeats it.
	text, err := Marshal(f.Scenario)
	require.NoError(t, err)
	assert.Positive(t, RunWith(parsed(t, string(text)), start, false).Violations["drain"])
	assert.Equal(
		t,
		f,
		(&Search{NewPolicy: start, Runs: 60, Seed: 2, OnRun: func() {}}).FindWorst(base),
		"the same find each time",
	)
}

func TestSaveAndPlot(t *testing.T) {
	dir := t.TempDir()
	s := parsed(
		t,
		small("[clients]", "[[trouble]]\nkind = \"down\"\nat = \"2s\"\nfor = \"2s\"\nbusiest = 2\n\n[clients]"),
	)
	r, err := Run(s, DefaultPolicy, true)
	require.NoError(t, err)
	require.NoError(t, Save(dir, s, r))
	written, err := Plot(dir)
	require.NoError(t, err)
	assert.Len(t, written, 11, "five charts in two forms and the page")
	page := read(t, dir, "page.html")
	assert.Equal(t, 5, strings.Count(page, "<svg"))
	assert.NotContains(t, page, "href=\"http")
	assert.NotContains(t, page, "src=")
	for _, path := range written {
		info, err := os.Stat(path)
		require.NoError(t, err)
		assert.Positive(t, info.Size())
	}
	_, err = Plot(t.TempDir())
	assert.ErrorContains(t, err, "holds neither a run nor a sweep")
}
