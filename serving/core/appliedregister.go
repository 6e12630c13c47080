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

// slowCommitThreshold is the duration of a commit above which Change doesn't wait for the proxies: an operator waits
// one second altogether.
const slowCommitThreshold = 300 * time.Millisecond

// appliedRegister is a register whose Change returns once the proxies have applied the change. So an acknowledged
// change stays in effect even if no core member runs afterwards that could send it to the proxies. Change doesn't wait
// long for a proxy that is suspended or unreachable; it gets the record by gossip.
type appliedRegister struct {
	operator.ReplicatedRegister
	agents *delivery.AgentNotifier
	log    *zerolog.Logger
}

// Change commits an update and waits for the proxies. Errors are those of the register: a change that is committed
// succeeds even if some proxies haven't applied it in time.
func (r *appliedRegister) Change(ctx context.Context, update register.Update) (state.Record, error) {
	begun := time.Now()
	record, err := r.ReplicatedRegister.Change(ctx, update)
	if err != nil {
		return record, err
	}
	committed := time.Since(begun)
	if committed > slowCommitThreshold {
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
