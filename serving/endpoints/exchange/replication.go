package exchange

import (
	"context"
	"time"

	"rowanlink/serving/delivery"
	"rowanlink/serving/endpoints"
	"rowanlink/serving/errcode"
	"rowanlink/serving/event"
	"rowanlink/serving/gossip"
	"rowanlink/serving/quorum"
	"rowanlink/serving/state"
)

// replicaCalls bounds the calls to each replica. A second call may begin while the replica's disk is busy with the
// first.
var replicaCalls = delivery.BatchOptions{MaxCalls: 2, CallTimeout: time.Second}

// PutReplicated gossips an endpoint and returns once a majority of the voters has it on disk and the proxies have
// applied it. On the disks the state survives the end of all processes and a loss of power; at the proxies it stays in
// effect even if no core member runs.
//
// The wait for the proxies is bounded by delivery.AgentTimeout: a proxy that is suspended or unreachable gets the
// endpoint by gossip. PutReplicated fails with errcode.NotAcknowledged if too few disks can be reached, or too few
// confirm before ctx ends. The endpoint is sent to all voters and gossiped in any case, unless it can't be encoded:
// then the error of encodeEntry is returned.
func (x *Exchange) PutReplicated(ctx context.Context, endpoint state.Endpoint, targets quorum.Targets) error {
	entry, err := encodeEntry(endpoint)
	if err != nil {
		return err
	}
	begun := time.Now()
	x.gossip.Put(entry)
	notification := x.agents.Start(ctx, entry)
	if err := x.storeReplicated(ctx, endpoint, entry, targets); err != nil {
		return err
	}
	stored := time.Since(begun)
	unconfirmed := notification.Wait()
	event.EndpointReplicated.Log(x.log).
		Str("endpoint", endpoint.ID).
		Dur("stored_ms", stored).
		Dur("applied_ms", time.Since(begun)).
		Int("agents", notification.Awaited()).
		Int("unconfirmed", unconfirmed).
		Int("not_awaited", notification.Unawaited()).
		Send()
	return nil
}

// storeReplicated sends an endpoint to all targets and returns once a quorum of them has it on disk. Errors are
// errcode.NotAcknowledged.
func (x *Exchange) storeReplicated(
	ctx context.Context, endpoint state.Endpoint, entry gossip.Entry, targets quorum.Targets,
) error {
	results := make(chan error, len(targets.Others)+1)
	copies := len(targets.Others)
	if targets.Local {
		copies++
		go func() { results <- x.persist(ctx, []state.Endpoint{endpoint}) }()
	}
	for _, address := range targets.Others {
		x.replicas.Send(ctx, address, entry, results)
	}
	return awaitQuorum(ctx, results, copies, targets.Quorum)
}

// awaitQuorum waits until quorum of the copies are stored, given the result of storing each copy. It fails as soon as
// too few copies are left to reach the quorum, or when ctx ends.
func awaitQuorum(ctx context.Context, results <-chan error, copies, quorum int) error {
	stored, failed := 0, 0
	for stored < quorum {
		if copies-failed < quorum {
			return errcode.NotAcknowledged.With("%d disks confirmed, %d needed, %d failed", stored, quorum, failed)
		}
		select {
		case err := <-results:
			if err == nil {
				stored++
			} else {
				failed++
			}
		case <-ctx.Done():
			return errcode.NotAcknowledged.With("%d disks confirmed in time, %d needed", stored, quorum)
		}
	}
	return nil
}

// PersistEntries saves gossiped endpoints on the local disk; it is the process's member.Persister. If any entry is of
// another gossip table or can't be decoded, it saves nothing and returns an error.
func (x *Exchange) PersistEntries(ctx context.Context, entries []gossip.Entry) error {
	list := make([]state.Endpoint, 0, len(entries))
	for _, entry := range entries {
		if entry.Table != gossip.TableEndpoints {
			return errcode.NotPersisted.With("gossip table %d can't be saved, only endpoints", entry.Table)
		}
		endpoint, err := endpoints.Decode(entry.Value)
		if err != nil {
			return err
		}
		list = append(list, endpoint)
	}
	return x.persist(ctx, list)
}
