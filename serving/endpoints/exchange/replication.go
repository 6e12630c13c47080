package exchange

import (
	"context"

	"rowanlink/serving/endpoints"
	"rowanlink/serving/errcode"
	"rowanlink/serving/gossip"
	"rowanlink/serving/quorum"
	"rowanlink/serving/state"
)

// PutReplicated gossips an endpoint and returns once it is on the disks of a majority of the voters, so that neither
// the end of all processes nor a loss of power undoes it. It fails with errcode.NotAcknowledged where that can't be
// reached or isn't before ctx ends. The endpoint is sent to all targets and gossiped in any case.
func (x *Exchange) PutReplicated(ctx context.Context, endpoint state.Endpoint, targets quorum.Targets) error {
	entry, err := encodeEntry(endpoint)
	if err != nil {
		return err
	}
	x.gossip.Put(entry)
	results := make(chan error, len(targets.Others)+1)
	copies := len(targets.Others)
	if targets.Local {
		copies++
		go func() { results <- x.persist(ctx, []state.Endpoint{endpoint}) }()
	}
	for _, address := range targets.Others {
		x.replicas.send(ctx, address, entry, results)
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
