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

// replicaCalls bounds the calls to a replica. The second one may begin while the disk is busy with the first.
var replicaCalls = delivery.BatchOptions{MaxCalls: 2, CallTimeout: time.Second}

// PutReplicated gossips an endpoint and returns once it is on the disks of a majority of the voters, so that neither
// the end of all processes nor a loss of power undoes it, and the proxies have applied it, so that it holds however
// long no core member runs. The wait for the proxies is bounded by delivery.AgentTimeout: one that is suspended or
// unreachable gets the endpoint by gossip. It fails with errcode.NotAcknowledged where the disks can't be reached or
// don't confirm before ctx ends. The endpoint is sent to all targets and gossiped in any case.
func (x *Exchange) PutReplicated(ctx context.Context, endpoint state.Endpoint, targets quorum.Targets) error {
	entry, err := encodeEntry(endpoint)
	if err != nil {
		return err
	}
	begun := time.Now()
	x.gossip.Put(entry)
	notified := x.agents.Start(ctx, entry)
	if err := x.storeReplicated(ctx, endpoint, entry, targets); err != nil {
		return err
	}
	stored := time.Since(begun)
	unconfirmed := notified.Wait()
	event.EndpointReplicated.Log(x.log).
		Str("endpoint", endpoint.ID).
		Dur("stored_ms", stored).
		Dur("applied_ms", time.Since(begun)).
		Int("agents", notified.Awaited()).
		Int("unconfirmed", unconfirmed).
		Int("not_awaited", notified.Unawaited()).
		Send()
	return nil
}

// storeReplicated sends an endpoint to all targets and returns once a quorum of them has it on disk.
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

// awaitQuorum waits for the results of storing copies until as many as quorum have succeeded.
func awaitQuorum(ctx context.Context, results <-chan error, copies, quorum int) error {
	stored, failed := 0, 0
	for stored < quorum {
		if copies-failed < quorum {
			return errcode.NotAcknowledged.With("%d of %d, %d failed", stored, quorum, failed)
		}
		select {
		case err := <-results:
			if err == nil {
				stored++
			} else {
				failed++
			}
		case <-ctx.Done():
			return errcode.NotAcknowledged.With("%d of %d", stored, quorum)
		}
	}
	return nil
}

// PersistEntries saves the endpoints among gossip entries on the local disk. It is the member's Persister.
func (x *Exchange) PersistEntries(ctx context.Context, entries []gossip.Entry) error {
	list := make([]state.Endpoint, 0, len(entries))
	for _, entry := range entries {
		if entry.Table != gossip.TableEndpoints {
			return errcode.NotPersisted.With("entries of table %d aren't saved", entry.Table)
		}
		endpoint, err := endpoints.Decode(entry.Value)
		if err != nil {
			return err
		}
		list = append(list, endpoint)
	}
	return x.persist(ctx, list)
}
