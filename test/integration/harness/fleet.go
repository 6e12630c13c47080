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

// Shape is what a fleet is started as. Zero values stand for the usual.
type Shape struct {
	Binary      string                     // Build's
	Members     int                        // 3 to 12; 0: 3
	Keepers     int                        // the first so many; 0: 3, or 5 from 8 members on
	Term        time.Duration              // 0: 3 s
	ClocksApart float64                    // told in the operator file; 0: 0.05
	Rates       map[string]float64         // members' clocks; left out: 1
	Ranges      int                        // 0: 16
	Spare       int                        // of the members, the last so many are in no operator file yet
	Extra       func(member string) string // further lines of a member's block
	Blocks      string                     // further blocks of the operator file
	Dests       []api.DestinationID        // 0: 1 to 4, an endpoint each
	Weight      float64                    // calls a second that the list says of each; 0: 200
	Lists       map[string][]api.DestinationID
	DiskMB      float64    // limits.disk_mb; 0: 64
	Settings    string     // in place of the usual
	Slack       api.Micros // of the ledger; 0: 5 s
	WaitsBind   bool       // a wait told to one member binds all
	Guarded     []string   // tasks: members that hold them do deeds at the guard
	Env         []string
	Plain       bool // bin/rowanlink: no fleet
	Idle        bool // no member is started
}

// Fleet is one that runs.
type Fleet struct {
	Members  []*Member
	Net      *Net
	Platform *platform.Platform
	Guard    *leasecheck.Checker // where Shape names tasks for it

	t      testing.TB
	shape  Shape
	http   *http.Client
	mu     sync.Mutex
	links  map[pair][2]string // says and log of the second as the first has them
	ending bool
}

// Build builds a command of the repository for a test's TestMain and returns its path and what removes it. root is
// where go.mod is, as seen from the test.
func Build(root, command string) (path string, remove func(), err error) {
	folder, remove, err := subprocess.Build(root, command)
	return filepath.Join(folder, command), remove, err
}

// Start starts a fleet and waits until all are ready. At the test's end all is ended, and the logs' tails are
// shown where it failed.
func Start(t testing.TB, shape Shape) *Fleet {
	t.Helper()
	f := &Fleet{Net: newNet(), t: t, shape: shape.usual(), links: map[pair][2]string{},
		http: &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	by, err := f.terms()
	require.NoError(t, err)
	f.Platform, err = platform.New(by, f.shape.Dests...)
	require.NoError(t, err)
	f.Platform.Lists = f.shape.Lists
	for _, d := range f.shape.Dests {
		f.Platform.Destination(d).Weight = f.shape.Weight
	}
	t.Cleanup(f.end)
	dir := t.TempDir()
	if len(f.shape.Guarded) > 0 {
		f.Guard, err = leasecheck.Open(filepath.Join(dir, "deeds"))
		require.NoError(t, err)
		t.Cleanup(func() { f.Guard.Close() })
		f.shape.Env = append(f.shape.Env, "ROWAN_GUARD="+f.Guard.Addr,
			"ROWAN_GUARD_TASKS="+strings.Join(f.shape.Guarded, ","))
	}
	for i := range f.shape.Members {
		f.Members = append(f.Members, f.member(dir, fmt.Sprintf("m%d", i+1)))
	}
	f.wire()
	for _, m := range f.Members {
		f.configure(m)
	}
	f.Write(f.shape.Blocks)
	if f.shape.Idle {
		return f
	}
	for _, m := range f.Members[:f.shape.Members-f.shape.Spare] {
		m.Launch()
	}
	for _, m := range f.Members[:f.shape.Members-f.shape.Spare] {
		m.Ready()
	}
	return f
}

func (f *Fleet) keep() *portalloc.Port {
	p, err := portalloc.Keep()
	require.NoError(f.t, err)
	f.t.Cleanup(func() { p.Close() })
	return p
}

// Member is one by its name.
func (f *Fleet) Member(name string) *Member {
	i := slices.IndexFunc(f.Members, func(m *Member) bool { return m.Name == name })
	require.GreaterOrEqual(f.t, i, 0, "no member %s", name)
	return f.Members[i]
}

// Names are all members'.
func (f *Fleet) Names() (all []string) {
	for _, m := range f.Members {
		all = append(all, m.Name)
	}
	return all
}

// Keepers are those that keep the log.
func (f *Fleet) Keepers() []*Member { return f.Members[:f.shape.Keepers] }

// Settled waits until each webhook that was taken on has its end.
func (f *Fleet) Settled() {
	f.t.Helper()
	defer func() {
		if f.t.Failed() {
			f.courses()
		}
	}()
	f.Soon("each webhook has its end", func() bool { return f.Platform.Ledger.Open() == 0 })
}

// Judge fails the test for each breach, but for those of rules that it names, and for what the guard saw.
func (f *Fleet) Judge(but ...deliverycheck.Rule) {
	f.t.Helper()
	n := 0
	for _, b := range f.Platform.Judge() {
		if slices.Contains(but, b.Rule) {
			continue
		}
		if n++; n <= mostTold {
			f.t.Errorf("%s\n%s", b, f.Platform.Ledger.Story(b.ID))
		}
	}
	if n > mostTold {
		f.t.Errorf("%d breaches more", n-mostTold)
	}
	if f.Guard == nil {
		return
	}
	for _, b := range f.Guard.Violations() {
		f.t.Errorf("guard: %s", b)
	}
	broken, err := f.Guard.CheckLinearizable(time.Minute)
	if len(broken) > 0 || err != nil {
		f.t.Errorf("guard: porcupine: no lock with fencing has such a history: %v %v", broken, err)
	}
}

// began has links to a member's new life stand until it is over; whoever ends by itself is refused, too.
func (f *Fleet) began(m *Member, p *subprocess.Process) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m.is = p
	f.Net.gone(m.Name, false)
	go func() {
		<-p.Over()
		f.mu.Lock()
		defer f.mu.Unlock()
		if m.Log.Note("%s has ended: %s", m.Name, p.End()); !f.ending && m.is == p {
			f.Platform.Ledger.Down(f.Platform.Now(), m.Name, true)
			f.Net.gone(m.Name, true)
		}
	}()
}

// mostTold bounds what a failure says: one cause has many breaches.
const mostTold = 10

// keepLog leaves the whole log of a member of a fleet that failed in the folder ROWAN_LOGS, where that is
// set.
func (f *Fleet) keepLog(m *Member) {
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

// end kills all by their process ids, and shows what was said.
func (f *Fleet) end() {
	f.mu.Lock()
	f.ending = true
	f.mu.Unlock()
	for _, m := range f.Members {
		if m.is.Running() {
			m.is.Signal(syscall.SIGKILL)
			m.is.Ended(endWithin)
		}
		for _, bad := range []string{"DATA RACE", "panic:", "fatal error:"} {
			if line, ok := m.Log.Find(0, bad); ok {
				f.t.Errorf("%s: %s", m.Name, line.Text)
			}
		}
	}
	f.Net.close()
	if err := f.Platform.Close(); err != nil {
		f.t.Errorf("platform: %s", err)
	}
	if f.t.Failed() {
		for _, m := range f.Members {
			f.t.Logf("%s, the last it said:\n%s", m.Name, m.Log.Tail(120))
			f.keepLog(m)
		}
	}
}

// courses logs what every member said of webhooks that broke a rule: with ROWANLINK_LOG=debug, each step.
func (f *Fleet) courses() {
	for _, b := range f.Platform.Judge()[:min(len(f.Platform.Judge()), 3)] {
		f.t.Logf("%s", b)
		for _, m := range f.Members {
			for _, line := range m.Log.All(0, "webhook="+b.ID+" ") {
				f.t.Logf("  %s %s", m.Name, line.Text)
			}
		}
	}
}
