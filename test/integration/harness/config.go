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

// defaultSettings are the settings of the platform's page, with an event type for each rule.
const defaultSettings = `{"classes":[
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

func (s Options) withDefaults() Options {
	s.Members = cmp.Or(s.Members, 3)
	if s.RaftNodes == 0 {
		s.RaftNodes = 3
		if s.Members >= 8 {
			s.RaftNodes = 5
		}
	}
	s.LeaseTTL = cmp.Or(s.LeaseTTL, 3*time.Second)
	s.ClockDrift = cmp.Or(s.ClockDrift, 0.05)
	s.Ranges = cmp.Or(s.Ranges, 16)
	s.DiskMB = cmp.Or(s.DiskMB, 64)
	s.Weight = cmp.Or(s.Weight, 200)
	s.Slack = cmp.Or(s.Slack, 5*seconds)
	if s.Destinations == nil {
		s.Destinations = []api.DestinationID{1, 2, 3, 4}
	}
	if s.Settings == "" {
		s.Settings = fmt.Sprintf(defaultSettings, s.Members)
	}
	return s
}

// requirements are what the ledger judges by: the settings', with the protocol's 50 ms on top.
func (f *Cluster) requirements() (deliverycheck.Requirements, error) {
	said := gjson.Parse(f.options.Settings)
	known, names, _, err := config.FromJSON(1, said)
	by := deliverycheck.Requirements{EventTypes: map[string]api.EventType{}, Settings: known, Slack: f.options.Slack,
		DrainGrace:     api.Micros(said.Get("rules.drainGrace").Int()/1000) + seconds/20,
		NotifiedWithin: 6 * seconds, WaitGrace: seconds / 10, WaitsBindAll: f.options.WaitsBindAll}
	for i, name := range names.EventTypes {
		by.EventTypes[name] = known.EventTypes[i]
	}
	return by, err
}

func (f *Cluster) newMember(dir, name string) *Member {
	m := &Member{Name: name, Log: subprocess.NewLog(), cluster: f, dir: filepath.Join(dir, name), clientPort: f.reservePort()}
	m.StateDir = filepath.Join(m.dir, "state")
	m.configPath, m.operatorPath = filepath.Join(m.dir, "config.json"), filepath.Join(m.dir, "fleet.hcl")
	m.ClientAddr = m.clientPort.Addr
	require.NoError(f.t, os.MkdirAll(m.dir, 0o700))
	m.Env = append(m.Env, f.options.Env...)
	if rate := f.options.ClockRates[name]; rate != 0 {
		m.Env = append(m.Env, fmt.Sprintf("ROWAN_CLOCK_RATE=%g", rate))
	}
	if !f.options.Standalone {
		m.peerPort, m.raftPort = f.reservePort(), f.reservePort()
		m.Env = append(m.Env, "ROWAN_FLEET="+m.operatorPath)
	}
	return m
}

// createLinks makes the links.
func (f *Cluster) createLinks() {
	if f.options.Standalone {
		return
	}
	for _, a := range f.Members {
		for _, b := range f.Members {
			if a == b {
				continue
			}
			says, err := f.Network.addLink(a.Name, b.Name, b.peerPort.Addr)
			require.NoError(f.t, err)
			log := ""
			if slices.Contains(f.RaftNodes(), b) {
				log, err = f.Network.addLink(a.Name, b.Name, b.raftPort.Addr)
				require.NoError(f.t, err)
			}
			f.links[memberPair{a.Name, b.Name}] = [2]string{says, log}
		}
	}
}

// writeConfig writes a member's LB_CONFIG.
func (f *Cluster) writeConfig(m *Member) {
	seat, err := f.Platform.View(m.Name)
	require.NoError(f.t, err)
	require.NoError(f.t, f.Platform.SetClientAddr(m.Name, m.ClientAddr))
	text := fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"seed":"8c1f30d27a5be9%02x","known":%s,
		"limits":{"memory_mb":192,"sockets":1024,"disk_mb":%g},"settings":%s}`, m.Name, m.ClientAddr, seat.AgentAddr,
		len(f.Members), seat.EndpointList(), f.options.DiskMB, f.options.Settings)
	require.True(f.t, gjson.Valid(text), text)
	require.NoError(f.t, os.WriteFile(m.configPath, []byte(text), 0o600))
}

// OperatorFile is the operator file as one member reads it, with further blocks, for some members.
func (f *Cluster) OperatorFile(m *Member, blocks string, named ...string) string {
	if len(named) == 0 {
		named = f.Names()[:f.options.Members-f.options.SpareMembers]
	}
	out := &strings.Builder{}
	fmt.Fprintf(out, "fleet \"proof\" {\n  term = %q\n  clocks_apart = %g\n  ranges = %d\n}\n", f.options.LeaseTTL,
		f.options.ClockDrift, f.options.Ranges)
	for _, name := range named {
		other := f.Member(name)
		says, log := other.peerPort.Addr, other.raftPort.Addr
		if other != m {
			both := f.links[memberPair{m.Name, name}]
			says, log = both[0], both[1]
		}
		fmt.Fprintf(out, "member %q {\n  says = %q\n", name, says)
		if slices.Contains(f.RaftNodes(), other) {
			fmt.Fprintf(out, "  log = %q\n", log)
		}
		if f.options.MemberSettings != nil {
			out.WriteString(f.options.MemberSettings(name))
		}
		out.WriteString("}\n")
	}
	for name, dests := range f.options.SubscriberLists {
		fmt.Fprintf(out, "list %q { subscribers = [%s] }\n", name, joinIDs(dests))
	}
	return out.String() + blocks
}

// WriteOperatorFiles writes every member's operator file with further blocks; SendHangup has them read it.
func (f *Cluster) WriteOperatorFiles(blocks string, named ...string) {
	if f.options.Standalone {
		return
	}
	for _, m := range f.Members {
		require.NoError(f.t, os.WriteFile(m.operatorPath, []byte(f.OperatorFile(m, blocks, named...)), 0o600))
	}
}

// ReloadOperatorFiles writes the files with other blocks and hangs up every member that runs.
func (f *Cluster) ReloadOperatorFiles(blocks string, named ...string) {
	f.t.Helper()
	f.WriteOperatorFiles(blocks, named...)
	for _, m := range f.Members {
		if m.process.IsRunning() {
			m.SendHangup()
		}
	}
}

func joinIDs(all []api.DestinationID) string {
	return strings.Trim(strings.Join(strings.Fields(fmt.Sprint(all)), ", "), "[]")
}
