package harness

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/tidwall/gjson"

	"rowanlink/test/checker/deliverycheck"
	"rowanlink/test/integration/subprocess"
	"rowanlink/webhook/api"
	"rowanlink/webhook/config"
)

// usual are the settings of the platform's page, with an event type for each rule.
const usual = `{"classes":[
 {"name":"status","aim":1000000000,"deadline":20000000000,"worth":1,"lateValue":0.3,"repeat":"pure"},
 {"name":"paid","aim":1000000000,"deadline":20000000000,"worth":1,"lateValue":0.3,"repeat":"token",
  "group":"all","window":20000000000},
 {"name":"charge","aim":1000000000,"deadline":20000000000,"worth":1,"lateValue":0.3,"repeat":"side_effect"},
 {"name":"ride","aim":1000000000,"deadline":20000000000,"worth":1,"lateValue":0.3,"repeat":"pure",
  "oneAtATime":true}],
 "kinds":["bulk"],"zones":["a"],"fleetSize":%d,"period":5000000,
 "familyInfo":{"slots":32,"batchByKind":[1],"kindApart":[false]},"weightSource":"nominal",
 "limits":{"openCap":2000,"maxAttempts":8,"connectTimeout":300000000,"keepalive":5000000000,"cancel":true,
 "retryAfter":true,"maxRetryAfter":3000000000},
 "rules":{"drainGrace":500000000,"startCapacity":0.15,"warmAfter":3000000000,"fallMultiple":2.5,
 "tipAfter":2000000000}}`

const seconds = api.Second

func (s Shape) usual() Shape {
	s.Members = cmp.Or(s.Members, 3)
	if s.Keepers == 0 {
		s.Keepers = 3
		if s.Members >= 8 {
			s.Keepers = 5
		}
	}
	s.Term = cmp.Or(s.Term, 3*time.Second)
	s.ClocksApart = cmp.Or(s.ClocksApart, 0.05)
	s.Ranges = cmp.Or(s.Ranges, 16)
	s.DiskMB = cmp.Or(s.DiskMB, 64)
	s.Weight = cmp.Or(s.Weight, 200)
	s.Slack = cmp.Or(s.Slack, 5*seconds)
	if s.Dests == nil {
		s.Dests = []api.DestinationID{1, 2, 3, 4}
	}
	if s.Settings == "" {
		s.Settings = fmt.Sprintf(usual, s.Members)
	}
	return s
}

// terms are what the ledger judges by: the settings', with the protocol's 50 ms on top.
func (f *Fleet) terms() (deliverycheck.Terms, error) {
	said := gjson.Parse(f.shape.Settings)
	known, names, _, err := config.FromJSON(1, said)
	by := deliverycheck.Terms{Types: map[string]api.EventType{}, Facts: known, Slack: f.shape.Slack,
		DrainGrace: api.Micros(said.Get("rules.drainGrace").Int()/1000) + seconds/20,
		ToldWithin: 6 * seconds, WaitGrace: seconds / 10, WaitsBindAll: f.shape.WaitsBind}
	for i, name := range names.EventTypes {
		by.Types[name] = known.EventTypes[i]
	}
	return by, err
}

func (f *Fleet) member(dir, name string) *Member {
	m := &Member{Name: name, Log: subprocess.NewLog(), f: f, dir: filepath.Join(dir, name), listen: f.keep()}
	m.Folder = filepath.Join(m.dir, "state")
	m.config, m.operator = filepath.Join(m.dir, "config.json"), filepath.Join(m.dir, "fleet.hcl")
	m.Listen = m.listen.Addr
	require.NoError(f.t, os.MkdirAll(m.dir, 0o700))
	m.Env = append(m.Env, f.shape.Env...)
	if rate := f.shape.Rates[name]; rate != 0 {
		m.Env = append(m.Env, fmt.Sprintf("ROWAN_CLOCK_RATE=%g", rate))
	}
	if !f.shape.Plain {
		m.says, m.log = f.keep(), f.keep()
		m.Env = append(m.Env, "ROWAN_FLEET="+m.operator)
	}
	return m
}

// wire makes the links.
func (f *Fleet) wire() {
	if f.shape.Plain {
		return
	}
	for _, a := range f.Members {
		for _, b := range f.Members {
			if a == b {
				continue
			}
			says, err := f.Net.link(a.Name, b.Name, b.says.Addr)
			require.NoError(f.t, err)
			log := ""
			if slices.Contains(f.Keepers(), b) {
				log, err = f.Net.link(a.Name, b.Name, b.log.Addr)
				require.NoError(f.t, err)
			}
			f.links[pair{a.Name, b.Name}] = [2]string{says, log}
		}
	}
}

// configure writes a member's LB_CONFIG.
func (f *Fleet) configure(m *Member) {
	seat, err := f.Platform.Seat(m.Name)
	require.NoError(f.t, err)
	require.NoError(f.t, f.Platform.Front(m.Name, m.Listen))
	text := fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"seed":"8c1f30d27a5be9%02x","known":%s,
		"limits":{"memory_mb":192,"sockets":1024,"disk_mb":%g},"settings":%s}`, m.Name, m.Listen, seat.Agent,
		len(f.Members), seat.List(), f.shape.DiskMB, f.shape.Settings)
	require.True(f.t, gjson.Valid(text), text)
	require.NoError(f.t, os.WriteFile(m.config, []byte(text), 0o600))
}

// Operator is the operator file as one member reads it, with further blocks, for some members.
func (f *Fleet) Operator(m *Member, blocks string, named ...string) string {
	if len(named) == 0 {
		named = f.Names()[:f.shape.Members-f.shape.Spare]
	}
	out := &strings.Builder{}
	fmt.Fprintf(out, "fleet \"proof\" {\n  term = %q\n  clocks_apart = %g\n  ranges = %d\n}\n", f.shape.Term,
		f.shape.ClocksApart, f.shape.Ranges)
	for _, name := range named {
		other := f.Member(name)
		says, log := other.says.Addr, other.log.Addr
		if other != m {
			both := f.links[pair{m.Name, name}]
			says, log = both[0], both[1]
		}
		fmt.Fprintf(out, "member %q {\n  says = %q\n", name, says)
		if slices.Contains(f.Keepers(), other) {
			fmt.Fprintf(out, "  log = %q\n", log)
		}
		if f.shape.Extra != nil {
			out.WriteString(f.shape.Extra(name))
		}
		out.WriteString("}\n")
	}
	for name, dests := range f.shape.Lists {
		fmt.Fprintf(out, "list %q { subscribers = [%s] }\n", name, commas(dests))
	}
	return out.String() + blocks
}

// Write writes every member's operator file with further blocks; HangUp has them read it.
func (f *Fleet) Write(blocks string, named ...string) {
	if f.shape.Plain {
		return
	}
	for _, m := range f.Members {
		require.NoError(f.t, os.WriteFile(m.operator, []byte(f.Operator(m, blocks, named...)), 0o600))
	}
}

// Reload writes the files with other blocks and hangs up every member that runs.
func (f *Fleet) Reload(blocks string, named ...string) {
	f.t.Helper()
	f.Write(blocks, named...)
	for _, m := range f.Members {
		if m.is.Running() {
			m.HangUp()
		}
	}
}

func commas(all []api.DestinationID) string {
	return strings.Trim(strings.Join(strings.Fields(fmt.Sprint(all)), ", "), "[]")
}
