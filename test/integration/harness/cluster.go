// Package harness starts fleets of real members on loopback for tests, with a network of its own between
// them, and kills, stops, ends and restarts them and breaks their links while it watches their logs. A
// platform stand-in is round them, and its ledger judges. Waits have generous bounds; no time is asserted.
package harness

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rowanlink/test/checker/deliverycheck"
	"rowanlink/test/checker/leasecheck"
	"rowanlink/test/fake/platform"
	"rowanlink/test/fake/portalloc"
	"rowanlink/test/integration/subprocess"
	"rowanlink/webhook/api"
)

// Options is what a fleet is started as. Zero values stand for the usual.
type Options struct {
	Binary           string                     // Build's
	Members          int                        // 3 to 12; 0: 3
	RaftNodes        int                        // the first so many; 0: 3, or 5 from 8 members on
	LeaseTTL         time.Duration              // 0: 3 s
	ClockDrift       float64                    // told in the operator file; 0: 0.05
	ClockRates       map[string]float64         // members' clocks; left out: 1
	Ranges           int                        // 0: 16
	SpareMembers     int                        // of the members, the last so many are in no operator file yet
	MemberSettings   func(member string) string // further lines of a member's block
	ConfigBlocks     string                     // further blocks of the operator file
	Destinations     []api.DestinationID        // 0: 1 to 4, an endpoint each
	Weight           float64                    // calls a second that the list says of each; 0: 200
	SubscriberLists  map[string][]api.DestinationID
	DiskMB           float64    // limits.disk_mb; 0: 64
	Settings         string     // in place of the usual
	Slack            api.Micros // of the ledger; 0: 5 s
	WaitsBindAll     bool       // a wait told to one member binds all
	CheckedResources []string   // tasks: members that hold them do deeds at the guard
	Env              []string
	Standalone       bool // bin/rowanlink: no fleet
	NotStarted       bool // no member is started
}

// Cluster is one that runs.
type Cluster struct {
	Members      []*Member
	Network      *Network
	Platform     *platform.Platform
	LeaseChecker *leasecheck.Checker // where Shape names tasks for it

	t       testing.TB
	options Options
	client  *http.Client
	mu      sync.Mutex
	links   map[memberPair][2]string // says and log of the second as the first has them
	ending  bool
}

// Build builds a command of the repository for a test's TestMain and returns its path and what removes it. root is
// where go.mod is, as seen from the test.
func Build(root, command string) (path string, remove func(), err error) {
	folder, remove, err := subprocess.Build(root, command)
	return filepath.Join(folder, command), remove, err
}

// Start starts a fleet and waits until all are ready. At the test's end all is ended, and the logs' tails are
// shown where it failed.
func Start(t testing.TB, shape Options) *Cluster {
	t.Helper()
	f := &Cluster{Network: newNetwork(), t: t, options: shape.withDefaults(), links: map[memberPair][2]string{},
		client: &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	by, err := f.requirements()
	require.NoError(t, err)
	f.Platform, err = platform.New(by, f.options.Destinations...)
	require.NoError(t, err)
	f.Platform.SubscriberLists = f.options.SubscriberLists
	for _, d := range f.options.Destinations {
		f.Platform.Destination(d).Weight = f.options.Weight
	}
	t.Cleanup(f.shutDown)
	dir := t.TempDir()
	if len(f.options.CheckedResources) > 0 {
		f.LeaseChecker, err = leasecheck.Open(filepath.Join(dir, "deeds"))
		require.NoError(t, err)
		t.Cleanup(func() { f.LeaseChecker.Close() })
		f.options.Env = append(f.options.Env, "ROWAN_GUARD="+f.LeaseChecker.Addr,
			"ROWAN_GUARD_TASKS="+strings.Join(f.options.CheckedResources, ","))
	}
	for i := range f.options.Members {
		f.Members = append(f.Members, f.newMember(dir, fmt.Sprintf("m%d", i+1)))
	}
	f.createLinks()
	for _, m := range f.Members {
		f.writeConfig(m)
	}
	f.WriteOperatorFiles(f.options.ConfigBlocks)
	if f.options.NotStarted {
		return f
	}
	for _, m := range f.Members[:f.options.Members-f.options.SpareMembers] {
		m.StartAsync()
	}
	for _, m := range f.Members[:f.options.Members-f.options.SpareMembers] {
		m.AwaitReady()
	}
	return f
}

func (f *Cluster) reservePort() *portalloc.Port {
	p, err := portalloc.Reserve()
	require.NoError(f.t, err)
	f.t.Cleanup(func() { p.Close() })
	return p
}

// Member is one by its name.
func (f *Cluster) Member(name string) *Member {
	i := slices.IndexFunc(f.Members, func(m *Member) bool { return m.Name == name })
	require.GreaterOrEqual(f.t, i, 0, "no member %s", name)
	return f.Members[i]
}

// Names are all members'.
func (f *Cluster) Names() (all []string) {
	for _, m := range f.Members {
		all = append(all, m.Name)
	}
	return all
}

// RaftNodes are those that keep the log.
func (f *Cluster) RaftNodes() []*Member { return f.Members[:f.options.RaftNodes] }

// AwaitOutcomes waits until each webhook that was taken on has its end.
func (f *Cluster) AwaitOutcomes() {
	f.t.Helper()
	defer func() {
		if f.t.Failed() {
			f.logWebhookTraces()
		}
	}()
	f.Eventually("each webhook has its end", func() bool { return f.Platform.Checker.Outstanding() == 0 })
}

// Check fails the test for each breach, but for those of rules that it names, and for what the guard saw.
func (f *Cluster) Check(but ...deliverycheck.Rule) {
	f.t.Helper()
	n := 0
	for _, b := range f.Platform.Check() {
		if slices.Contains(but, b.Rule) {
			continue
		}
		if n++; n <= maxReportedViolations {
			f.t.Errorf("%s\n%s", b, f.Platform.Checker.Describe(b.ID))
		}
	}
	if n > maxReportedViolations {
		f.t.Errorf("%d breaches more", n-maxReportedViolations)
	}
	if f.LeaseChecker == nil {
		return
	}
	for _, b := range f.LeaseChecker.Violations() {
		f.t.Errorf("guard: %s", b)
	}
	broken, err := f.LeaseChecker.CheckLinearizable(time.Minute)
	if len(broken) > 0 || err != nil {
		f.t.Errorf("guard: porcupine: no lock with fencing has such a history: %v %v", broken, err)
	}
}

// processStarted has links to a member's new life stand until it is over; whoever ends by itself is refused, too.
func (f *Cluster) processStarted(m *Member, p *subprocess.Process) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m.process = p
	f.Network.setDown(m.Name, false)
	go func() {
		<-p.Done()
		f.mu.Lock()
		defer f.mu.Unlock()
		if m.Log.Annotate("%s has ended: %s", m.Name, p.ExitStatus()); !f.ending && m.process == p {
			f.Platform.Checker.RecordMemberDown(f.Platform.Now(), m.Name, true)
			f.Network.setDown(m.Name, true)
		}
	}()
}

// maxReportedViolations bounds what a failure says: one cause has many breaches.
const maxReportedViolations = 10

// saveLog leaves the whole log of a member of a fleet that failed in the folder ROWAN_LOGS, where that is
// set.
func (f *Cluster) saveLog(m *Member) {
	dir := os.Getenv("ROWAN_LOGS")
	if dir == "" {
		return
	}
	dir = filepath.Join(dir, strings.Map(func(r rune) rune {
		if strings.ContainsRune(" /,'", r) {
			return '_'
		}
		return r
	}, f.t.Name()))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		f.t.Log(err)
	}
	f.t.Log(os.WriteFile(filepath.Join(dir, m.Name+".log"), []byte(m.Log.Tail(1<<30)), 0o600))
}

// shutDown kills all by their process ids, and shows what was said.
func (f *Cluster) shutDown() {
	f.mu.Lock()
	f.ending = true
	f.mu.Unlock()
	for _, m := range f.Members {
		if m.process.IsRunning() {
			m.process.Signal(syscall.SIGKILL)
			m.process.AwaitExit(exitTimeout)
		}
		for _, bad := range []string{"DATA RACE", "panic:", "fatal error:"} {
			if line, ok := m.Log.Find(0, bad); ok {
				f.t.Errorf("%s: %s", m.Name, line.Text)
			}
		}
	}
	f.Network.close()
	if err := f.Platform.Close(); err != nil {
		f.t.Errorf("platform: %s", err)
	}
	if f.t.Failed() {
		for _, m := range f.Members {
			f.t.Logf("%s, the last it said:\n%s", m.Name, m.Log.Tail(120))
			f.saveLog(m)
		}
	}
}

// logWebhookTraces logs what every member said of webhooks that broke a rule: with ROWANLINK_LOG=debug, each step.
func (f *Cluster) logWebhookTraces() {
	for _, b := range f.Platform.Check()[:min(len(f.Platform.Check()), 3)] {
		f.t.Logf("%s", b)
		for _, m := range f.Members {
			for _, line := range m.Log.FindAll(0, "webhook="+b.ID+" ") {
				f.t.Logf("  %s %s", m.Name, line.Text)
			}
		}
	}
}
