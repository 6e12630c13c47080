package member

import (
	"cmp"
	"context"
	"slices"
	"time"

	"rowanlink/serving/errcode"
	"rowanlink/serving/gossip"
	"rowanlink/serving/state"
)

// hedgeDelay is how long replication waits for acknowledgements before it sends the entry to one more member.
const hedgeDelay = 120 * time.Millisecond

// PutReplicated stores and gossips an entry, sends it to other live members at once, to core members first, and returns
// when as many as copies have acknowledged that they have it in memory. It fails with errcode.TooFewMembers where fewer
// are live, and with errcode.NotAcknowledged where too few have acknowledged before ctx ended or all have been tried.
// The entry is gossiped in any case.
func (s *Service) PutReplicated(ctx context.Context, entry gossip.Entry, copies int) error {
	targets := query(s, func(now time.Time, n *node) []gossip.Peer {
		n.putLocal(now, entry)
		return n.replicaTargets()
	})
	if len(targets) < copies {
		return errcode.TooFewMembers.With("%d of %d", len(targets), copies)
	}
	calling, cancel := context.WithCancel(ctx)
	defer cancel()
	pending := replication{
		service: s,
		entry:   entry,
		targets: targets,
		results: make(chan error, len(targets)),
	}
	for range copies {
		pending.sendToNext(calling)
	}
	return pending.wait(calling, copies)
}

// replicaTargets returns the other live members: core members before others, and those of the local region first.
// Members that are avoided come last.
func (n *node) replicaTargets() []gossip.Peer {
	self := n.members.Self()
	live := slices.Clone(n.members.LiveMembers())
	n.random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	rank := func(member state.Member) int {
		value := 0
		if member.Role != state.RoleCore {
			value += 2
		}
		if member.Region != self.Region {
			value++
		}
		return value
	}
	slices.SortStableFunc(live, func(a, b state.Member) int { return cmp.Compare(rank(a), rank(b)) })
	var avoided, targets []gossip.Peer
	for _, member := range live {
		switch peer := peerOf(member); {
		case member.Name == self.Name:
		case n.engine.IsAvoided(n.now, member.Name):
			avoided = append(avoided, peer)
		default:
			targets = append(targets, peer)
		}
	}
	return append(targets, avoided...)
}

// replication sends one entry to a number of members.
type replication struct {
	service  *Service
	entry    gossip.Entry
	targets  []gossip.Peer // not sent to yet
	results  chan error
	inFlight int
}

// sendToNext sends the entry to the next target; false where none is left.
func (r *replication) sendToNext(ctx context.Context) bool {
	if len(r.targets) == 0 {
		return false
	}
	target := r.targets[0]
	r.targets = r.targets[1:]
	r.inFlight++
	go func() {
		message := gossip.Message{From: r.service.options.Self.Name, Entries: []gossip.Entry{r.entry}}
		bounded, cancel := context.WithTimeout(ctx, timeoutFor(message.Entries))
		defer cancel()
		_, err := pushMethod.Call(bounded, r.service.options.Client, target.Address, &message)
		if err != nil && ctx.Err() == nil {
			r.service.markUnresponsive(target.Name)
		}
		r.results <- err
	}()
	return true
}

// wait waits for the acknowledgements and sends the entry to a further target for each one that fails or is late.
func (r *replication) wait(ctx context.Context, copies int) error {
	hedge := time.NewTicker(hedgeDelay)
	defer hedge.Stop()
	acknowledged := 0
	for acknowledged < copies {
		select {
		case err := <-r.results:
			r.inFlight--
			if err == nil {
				acknowledged++
				continue
			}
			if !r.sendToNext(ctx) && r.inFlight == 0 {
				return errcode.NotAcknowledged.With("%d of %d", acknowledged, copies)
			}
		case <-hedge.C:
			r.sendToNext(ctx)
		case <-ctx.Done():
			return errcode.NotAcknowledged.With("%d of %d", acknowledged, copies)
		}
	}
	return nil
}
