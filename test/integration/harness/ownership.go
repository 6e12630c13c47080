package harness

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"rowanlink/cluster"
	"rowanlink/cluster/shardmap"
	"rowanlink/cluster/transport"
	"rowanlink/test/checker/leasecheck"
	"rowanlink/test/integration/subprocess"
	"rowanlink/webhook/api"
)

// OwnershipWatcher follows the shard map as each raft node reports it, until Events or Check.
type OwnershipWatcher struct {
	cluster     *Cluster
	cancel      func()
	readersDone sync.WaitGroup

	mu       sync.Mutex
	readers  int
	observed map[cluster.Resource][]leasecheck.OwnershipEvent
}

// WatchOwnership begins to follow the shard map of the raft nodes. Members have to log with DebugLog.
func (c *Cluster) WatchOwnership() *OwnershipWatcher {
	ctx, cancel := context.WithCancel(context.Background())
	w := &OwnershipWatcher{
		cluster:  c,
		cancel:   cancel,
		observed: map[cluster.Resource][]leasecheck.OwnershipEvent{},
	}
	for _, m := range c.RaftNodes() {
		w.readersDone.Go(func() { w.followNode(ctx, m) })
	}
	return w
}

// nodeReader reads the shard map of one incarnation of a raft node. Another incarnation may know less, so it has
// another reader.
type nodeReader struct {
	process *subprocess.Process
	number  int
	version uint64 // of the last map
	epochs  map[cluster.RangeID]cluster.Epoch
}

func (w *OwnershipWatcher) newReader(process *subprocess.Process) *nodeReader {
	w.mu.Lock()
	defer w.mu.Unlock()
	reader := &nodeReader{process: process, number: w.readers, epochs: map[cluster.RangeID]cluster.Epoch{}}
	w.readers++
	return reader
}

func (w *OwnershipWatcher) followNode(ctx context.Context, m *Member) {
	const node, retryDelay = "it", 5 * time.Millisecond
	client := transport.NewClient("proof", map[cluster.MemberID]string{node: m.peerPort.Addr})
	defer client.Close()
	var reader *nodeReader
	for ctx.Err() == nil {
		if process := w.cluster.currentProcess(m); reader == nil || process != reader.process {
			reader = w.newReader(process)
		}
		response, ok := requestShardMap(client, node, reader.version, w.cluster.options.LeaseTTL)
		receivedAt := api.Micros(time.Now().UnixMicro())
		if !ok || w.cluster.currentProcess(m) != reader.process {
			time.Sleep(retryDelay)
			continue
		}
		for _, part := range response.Components {
			reader.version = part.Version
			shards := shardmap.New(nil)
			if shards.Restore(part.Data) != nil {
				continue
			}
			w.addOwners(reader, shards, receivedAt)
		}
	}
}

// addOwners records the owners that a map names and that the reader has not seen yet.
func (w *OwnershipWatcher) addOwners(reader *nodeReader, shards *shardmap.Map, receivedAt api.Micros) {
	for _, r := range shards.Ranges {
		if r.Status != shardmap.OwnerServing || reader.epochs[r.ID] == r.Epoch {
			continue
		}
		reader.epochs[r.ID] = r.Epoch
		resource := cluster.RangeOwnerResource(r.ID)
		w.mu.Lock()
		w.observed[resource] = append(w.observed[resource], leasecheck.OwnershipEvent{
			Kind:   leasecheck.Observed,
			Member: string(r.Owner),
			Epoch:  uint64(r.Epoch),
			Reader: reader.number,
			Until:  receivedAt,
		})
		w.mu.Unlock()
	}
}

// Events ends the watch and returns the events of each resource, from all logs and all maps that were read.
func (w *OwnershipWatcher) Events() map[cluster.Resource][]leasecheck.OwnershipEvent {
	w.cancel()
	w.readersDone.Wait()
	events := map[cluster.Resource][]leasecheck.OwnershipEvent{}
	for _, m := range w.cluster.Members {
		addLogEvents(m.Name, m.Log.FindAll(0, ""), events)
	}
	for resource, observed := range w.observed {
		events[resource] = append(dropUnconfirmed(events[resource], observed), observed...)
	}
	return events
}

// dropUnconfirmed drops the publications of an owner whose response was lost, except those that a map shows and that
// no other event records.
func dropUnconfirmed(events, observed []leasecheck.OwnershipEvent) (kept []leasecheck.OwnershipEvent) {
	var unconfirmed []leasecheck.OwnershipEvent
	for _, e := range events {
		if e.Kind == leasecheck.Published && e.Until == api.Never {
			unconfirmed = append(unconfirmed, e)
		} else {
			kept = append(kept, e)
		}
	}
	for _, e := range unconfirmed {
		isOf := func(kind leasecheck.OwnershipEventKind) func(leasecheck.OwnershipEvent) bool {
			return func(other leasecheck.OwnershipEvent) bool {
				return other.Kind == kind && other.Member == e.Member && other.Epoch == e.Epoch
			}
		}
		isShown := slices.ContainsFunc(observed, isOf(leasecheck.Observed))
		if isShown && !slices.ContainsFunc(kept, isOf(leasecheck.Published)) {
			kept = append(kept, e)
		}
	}
	return kept
}

// Check ends the watch and fails the test for each resource whose events no lock and no map could have.
func (w *OwnershipWatcher) Check() {
	w.cluster.t.Helper()
	events, published := w.Events(), 0
	for _, resource := range slices.Sorted(maps.Keys(events)) {
		isPossible, err := leasecheck.CheckOwnership(events[resource], linearizableTimeout)
		if !isPossible || err != nil {
			w.cluster.t.Errorf("porcupine: %s has an impossible history (%v):\n%s", resource, err,
				formatEvents(events[resource]))
		}
		for _, e := range events[resource] {
			if e.Kind == leasecheck.Published {
				published++
			}
		}
	}
	if published == 0 {
		w.cluster.t.Errorf("no owner was published: the history is empty")
	}
	w.cluster.t.Logf("%d resources, %d owners published, %d readers", len(events), published, w.readers)
}

// formatEvents prints events in the order of their end. It sorts them in place.
func formatEvents(events []leasecheck.OwnershipEvent) string {
	slices.SortStableFunc(events, func(a, b leasecheck.OwnershipEvent) int { return cmp.Compare(a.Until, b.Until) })
	out := &strings.Builder{}
	for _, e := range events {
		fmt.Fprintf(out, "  %s %s/%d by %d: %d to %d\n", e.Kind, e.Member, e.Epoch, e.Reader, e.From, e.Until)
	}
	return out.String()
}
