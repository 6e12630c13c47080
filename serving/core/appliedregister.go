package core

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"rowanlink/serving/delivery"
	"rowanlink/serving/event"
	"rowanlink/serving/gossip"
	"rowanlink/serving/operator"
	"rowanlink/serving/register"
	"rowanlink/serving/state"
)

// maxAwaitedCommit is the time beyond which the proxies of a committed change aren't waited for: an operator waits a
// second altogether.
const maxAwaitedCommit = 300 * time.Millisecond

// appliedRegister is a register whose changes return once the proxies have applied them, so that an acknowledged change
// holds however long no core member runs. One that is suspended or unreachable gets the record by gossip.
type appliedRegister struct {
	operator.ReplicatedRegister
	agents *delivery.AgentNotifier
	log    *zerolog.Logger
}

// Change commits an update. Errors are those of the register: what is committed but not applied everywhere in time is a
// success.
func (r *appliedRegister) Change(ctx context.Context, update register.Update) (state.Record, error) {
	begun := time.Now()
	record, err := r.ReplicatedRegister.Change(ctx, update)
	if err != nil {
		return record, err
	}
	committed := time.Since(begun)
	if committed > maxAwaitedCommit {
		return record, nil
	}
	notified := r.agents.Start(ctx, recordHeader(record))
	unconfirmed := notified.Wait()
	event.RecordApplied.Log(r.log).
		Uint64("revision", record.Revision).
		Dur("committed_ms", committed).
		Dur("applied_ms", time.Since(begun)).
		Int("agents", notified.Awaited()).
		Int("unconfirmed", unconfirmed).
		Int("not_awaited", notified.Unawaited()).
		Send()
	return record, nil
}

// recordHeader returns the gossip entry of a record without its value.
func recordHeader(record state.Record) gossip.Entry {
	return gossip.Entry{
		Table:   gossip.TableRecord,
		Key:     gossip.RecordKey,
		Version: gossip.NewVersion(record.Revision, 0),
	}
}
