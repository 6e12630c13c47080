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

// hedgeDelay is how long replication waits for further acknowledgements before it sends the entry to one more member.
const hedgeDelay = 120 * time.Millisecond

// PutReplicated stores an entry, gossips it, and also sends it directly to other live members, core members first. It returns
// when the given number of copies has been acknowledged: so many other members have the entry in memory. Errors are
// errcode.TooFewMembers if fewer other members are live, and errcode.NotAcknowledged if ctx ends or all members have been
// tried before. The entry is gossiped even if an error is returned.
func (s *Service) PutReplicated(ctx context.Context, entry gossip.Entry, copies int) error {
	targets := query(s, func(now time.Time, n *node) []gossip.Peer {
		n.putLocal(now, entry)
		return n.replicaTargets()
	})
	if len(targets) < copies {
		return errcode.TooFewMembers.With("%d live, %d required", len(targets), copies)
	}
	callContext, cancel := context.WithCancel(ctx)
	defer cancel()
	pending := replication{
		service: s,
		entry:   entry,
		targets: targets,
		results: make(chan error, len(targets)),
	}
	for range copies {
		pending.sendToNext(callContext)
	}
	return pending.wait(callContext, copies)
}

// replicaTargets returns the other live members in the order in which to send an entry to them: first core members, then
// agents; of either role first those of the local region; otherwise at random. Members that the gossip engine avoids, since
// they didn't respond lately, come last.
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

// replication is the state of one call of PutReplicated.
type replication struct {
	service  *Service
	entry    gossip.Entry
	targets  []gossip.Peer // not sent to yet
	results  chan error    // one for each call; nil: acknowledged
	inFlight int           // calls without a result
}

// sendToNext starts sending the entry to the next target; false if no target is left.
func (r *replication) sendToNext(ctx context.Context) bool {
	if len(r.targets) == 0 {
		return false
	}
	target := r.targets[0]
	r.targets = r.targets[1:]
	r.inFlight++
	go func() {
		message := gossip.Message{From: r.service.options.Self.Name, Entries: []gossip.Entry{r.entry}}
		callContext, cancel := context.WithTimeout(ctx, timeoutFor(message.Entries))
		defer cancel()
		_, err := pushMethod.Call(callContext, r.service.options.Client, target.Address, &message)
		if err != nil && ctx.Err() == nil {
			r.service.markUnresponsive(target.Name)
		}
		r.results <- err
	}()
	return true
}

// wait waits until the number of copies has been acknowledged. It sends the entry to one more target after each failed call
// and at each end of hedgeDelay, in case the calls in flight are slow.
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
				return errcode.NotAcknowledged.With("%d of %d acknowledged", acknowledged, copies)
			}
		case <-hedge.C:
			r.sendToNext(ctx)
		case <-ctx.Done():
			return errcode.NotAcknowledged.With("%d of %d acknowledged", acknowledged, copies)
		}
	}
	return nil
}
