package harness

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strconv"
	"sync"
	"time"

	"rowanlink/cluster"
	"rowanlink/cluster/shardmap"
	"rowanlink/cluster/transport"
	"rowanlink/test/checker/leasecheck"
	"rowanlink/test/integration/subprocess"
	"rowanlink/webhook/api"
)

// DebugLog has members write the microseconds of each line: without it a log is no history.
const DebugLog = "ROWANLINK_LOG=debug"

// OwnershipWatcher follows the map as each keeper tells it, as members do, until Past.
type OwnershipWatcher struct {
	cluster     *Cluster
	cancel      func()
	readersDone sync.WaitGroup
	mu          sync.Mutex
	readers     int
	observed    map[cluster.Resource][]leasecheck.OwnershipEvent
}

// WatchOwnership begins to follow the keepers.
func (f *Cluster) WatchOwnership() *OwnershipWatcher {
	ctx, end := context.WithCancel(context.Background())
	v := &OwnershipWatcher{cluster: f, cancel: end, observed: map[cluster.Resource][]leasecheck.OwnershipEvent{}}
	for _, m := range f.RaftNodes() {
		v.readersDone.Go(func() { v.followNode(ctx, m) })
	}
	return v
}

// followNode is one reader for each life of a keeper: another life may know less.
func (v *OwnershipWatcher) followNode(ctx context.Context, m *Member) {
	asks := transport.NewClient("proof", map[cluster.MemberID]string{"it": m.peerPort.Addr})
	defer asks.Close()
	var life *subprocess.Process
	var reader int
	var version uint64
	saw := map[cluster.RangeID]cluster.Epoch{}
	for ctx.Err() == nil {
		if now := v.cluster.process(m); now != life {
			v.mu.Lock()
			life, reader, version = now, v.readers, 0
			v.readers++
			v.mu.Unlock()
			clear(saw)
		}
		status, raw, err := asks.Call("it", transport.StatePath,
			transport.Encode(transport.StateRequest{Versions: map[byte]uint64{cluster.ShardMapComponent: version}}), v.cluster.options.LeaseTTL)
		got := api.Micros(time.Now().UnixMicro())
		var answer transport.StateResponse
		if err != nil || status != 200 || transport.Decode(raw, &answer) != nil || v.cluster.process(m) != life {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		for _, part := range answer.Components {
			version = part.Version
			chart := shardmap.New(nil)
			if chart.Restore(part.Data) != nil {
				continue
			}
			for _, r := range chart.Ranges {
				if r.Status != shardmap.OwnerServing || saw[r.ID] == r.Epoch {
					continue
				}
				saw[r.ID] = r.Epoch
				v.mu.Lock()
				v.observed[cluster.RangeOwnerResource(r.ID)] = append(v.observed[cluster.RangeOwnerResource(r.ID)], leasecheck.OwnershipEvent{Kind: leasecheck.Observed,
					Member: string(r.Owner), Epoch: uint64(r.Epoch), Reader: reader, Until: got})
				v.mu.Unlock()
			}
		}
	}
}

func (f *Cluster) process(m *Member) *subprocess.Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return m.process
}

// Events ends following and returns what befell each task, from all logs and all that was seen.
func (v *OwnershipWatcher) Events() map[cluster.Resource][]leasecheck.OwnershipEvent {
	v.cancel()
	v.readersDone.Wait()
	all := map[cluster.Resource][]leasecheck.OwnershipEvent{}
	for _, m := range v.cluster.Members {
		addLogEvents(m.Name, m.Log.FindAll(0, ""), all)
	}
	for task, seen := range v.observed {
		all[task] = append(dropUnconfirmed(all[task], seen), seen...)
	}
	return all
}

// dropUnconfirmed leaves of the seats that may have been taken, as their member said, those that were seen and that no
// other line tells of: their answers were lost.
func dropUnconfirmed(of, seen []leasecheck.OwnershipEvent) (all []leasecheck.OwnershipEvent) {
	var unsure []leasecheck.OwnershipEvent
	for _, p := range of {
		if p.Kind == leasecheck.Published && p.Until == api.Never {
			unsure = append(unsure, p)
		} else {
			all = append(all, p)
		}
	}
	for _, p := range unsure {
		was := func(what leasecheck.OwnershipEventKind) func(leasecheck.OwnershipEvent) bool {
			return func(o leasecheck.OwnershipEvent) bool {
				return o.Kind == what && o.Member == p.Member && o.Epoch == p.Epoch
			}
		}
		if slices.ContainsFunc(seen, was(leasecheck.Observed)) && !slices.ContainsFunc(all, was(leasecheck.Published)) {
			all = append(all, p)
		}
	}
	return all
}

// Check fails the test for each task whose past no lock and no map could have.
func (v *OwnershipWatcher) Check() {
	v.cluster.t.Helper()
	all, seats := v.Events(), 0
	for _, task := range slices.Sorted(maps.Keys(all)) {
		could, err := leasecheck.CheckOwnership(all[task], time.Minute)
		if !could || err != nil {
			v.cluster.t.Errorf("porcupine: %s has a past that it can't have (%v):\n%s", task, err, formatEvents(all[task]))
		}
		for _, p := range all[task] {
			if p.Kind == leasecheck.Published {
				seats++
			}
		}
	}
	if seats == 0 {
		v.cluster.t.Errorf("no home was seated: the history tells nothing")
	}
	v.cluster.t.Logf("%d tasks, %d homes seated, %d readers", len(all), seats, v.readers)
}

func formatEvents(all []leasecheck.OwnershipEvent) (text string) {
	slices.SortStableFunc(all, func(a, b leasecheck.OwnershipEvent) int { return cmp.Compare(a.Until, b.Until) })
	for _, p := range all {
		text += fmt.Sprintf("  %s %s/%d by %d: %d to %d\n", p.Kind, p.Member, p.Epoch, p.Reader, p.From, p.Until)
	}
	return text
}

var (
	ownershipLine = regexp.MustCompile(`^(\d{4}/\d\d/\d\d \d\d:\d\d:\d\d\.\d{6}) INFO ` +
		`(task held|task over|home taken|home switched) `)
	unconfirmedLine = regexp.MustCompile(` WARN home (taken|switched) not said range=(\d+) .*it may have arrived`)
	resourceField   = regexp.MustCompile(` task=(\S+)`)
	rangeField      = regexp.MustCompile(` range=(\d+)`)
	epochField      = regexp.MustCompile(` epoch=(\d+)`)
)

// addLogEvents adds what one member's log says. A grant came before its line, and after the end of the one before;
// an end between both lines, or before the process ended; a seat after the grant's line and before its own.
func addLogEvents(name string, lines []subprocess.Line, all map[cluster.Resource][]leasecheck.OwnershipEvent) {
	type grant struct {
		epoch uint64
		at    api.Micros
		ended bool
	}
	has, over, lives := map[cluster.Resource]*grant{}, map[cluster.Resource]api.Micros{}, 0
	add := func(task cluster.Resource, what leasecheck.OwnershipEventKind, epoch uint64, from, until api.Micros) {
		all[task] = append(all[task], leasecheck.OwnershipEvent{Kind: what, Member: name, Epoch: epoch, From: from, Until: until})
	}
	end := func(task cluster.Resource, until api.Micros) {
		if g := has[task]; g != nil && !g.ended {
			g.ended, over[task] = true, g.at
			add(task, leasecheck.Ended, g.epoch, g.at, until)
		}
	}
	endAll := func(until api.Micros) {
		for task := range has {
			end(task, until)
		}
	}
	for _, line := range lines {
		switch at := api.Micros(line.At.UnixMicro()); {
		case line.ContainsAll("# start " + name):
			endAll(at)
			lives++
		case line.ContainsAll("# " + name + " has ended"):
			if lives--; lives == 0 { // else the next life has begun already
				endAll(at)
			}
		}
		if may := unconfirmedLine.FindStringSubmatch(line.Text); may != nil {
			id, _ := strconv.ParseUint(may[2], 10, 32)
			if task := cluster.RangeOwnerResource(cluster.RangeID(id)); has[task] != nil {
				add(task, leasecheck.Published, has[task].epoch, has[task].at, api.Never)
			}
		}
		said := ownershipLine.FindStringSubmatch(line.Text)
		if said == nil {
			continue
		}
		when, err := time.ParseInLocation("2006/01/02 15:04:05.000000", said[1], time.Local)
		if err != nil {
			continue
		}
		at := api.Micros(when.UnixMicro())
		switch said[2] {
		case "task held":
			task := cluster.Resource(resourceField.FindStringSubmatch(line.Text)[1])
			epoch, _ := strconv.ParseUint(epochField.FindStringSubmatch(line.Text)[1], 10, 64)
			end(task, at)
			has[task] = &grant{epoch: epoch, at: at}
			add(task, leasecheck.Granted, epoch, over[task], at)
		case "task over":
			end(cluster.Resource(resourceField.FindStringSubmatch(line.Text)[1]), at)
		default:
			id, _ := strconv.ParseUint(rangeField.FindStringSubmatch(line.Text)[1], 10, 32)
			task := cluster.RangeOwnerResource(cluster.RangeID(id))
			if g := has[task]; g != nil {
				add(task, leasecheck.Published, g.epoch, g.at, at)
			}
		}
	}
	endAll(api.Never)
}
