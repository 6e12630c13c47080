package operator

import (
	"context"

	"rowanlink/serving/register"
	"rowanlink/serving/rollout"
	"rowanlink/serving/state"
)

// ReplicatedRegister holds the methods of register.Node that a Register needs.
type ReplicatedRegister interface {
	Change(ctx context.Context, update register.Update) (state.Record, error)
	Read(ctx context.Context) (state.Record, error)
}

// registerAdapter implements Register: it turns each change into an update of the replicated register.
type registerAdapter struct{ replicated ReplicatedRegister }

// NewRegister returns the replicated register as a Register.
func NewRegister(replicated ReplicatedRegister) Register {
	return registerAdapter{replicated: replicated}
}

// ReplaceConfiguration implements Register.
func (a registerAdapter) ReplaceConfiguration(ctx context.Context, baseVersion uint64, c state.Configuration) error {
	_, err := a.replicated.Change(ctx, register.ReplaceConfiguration(baseVersion, c))
	return err
}

// AmendConfiguration implements Register.
func (a registerAdapter) AmendConfiguration(ctx context.Context, amendment Amendment) error {
	applied := state.AppliedUpdate{Version: amendment.content.Version, Digest: amendment.digest}
	update := register.AmendConfiguration(amendment.baseVersion, applied, amendment.Apply)
	_, err := a.replicated.Change(ctx, update)
	return err
}

// SetEvacuation implements Register.
func (a registerAdapter) SetEvacuation(ctx context.Context, zone string, active bool) error {
	_, err := a.replicated.Change(ctx, register.SetEvacuation(zone, active))
	return err
}

// BeginRollout implements Register.
func (a registerAdapter) BeginRollout(
	ctx context.Context, order rollout.Order, isRecent func(orderRevision uint64) bool,
) error {
	update := rollout.Begin(order, isRecent, func(configuration state.Configuration) error {
		return checkService(configuration, order.Service)
	})
	_, err := a.replicated.Change(ctx, update)
	return err
}

// Read implements Register.
func (a registerAdapter) Read(ctx context.Context) (state.Record, error) {
	return a.replicated.Read(ctx)
}
