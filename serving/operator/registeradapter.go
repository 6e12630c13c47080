package operator

import (
	"context"

	"rowanlink/serving/register"
	"rowanlink/serving/state"
)

// ReplicatedRegister is the part of register.Node that orders need.
type ReplicatedRegister interface {
	Change(ctx context.Context, update register.Update) (state.Record, error)
	Read(ctx context.Context) (state.Record, error)
}

// registerAdapter makes the register's changes of an operator's orders.
type registerAdapter struct{ node ReplicatedRegister }

// NewRegister is the replicated register as operators' orders see it.
func NewRegister(node ReplicatedRegister) Register { return registerAdapter{node: node} }

// ReplaceConfiguration implements Register.
func (n registerAdapter) ReplaceConfiguration(ctx context.Context, basedOn uint64, c state.Configuration) error {
	_, err := n.node.Change(ctx, register.ReplaceConfiguration(basedOn, c))
	return err
}

// AmendConfiguration implements Register.
func (n registerAdapter) AmendConfiguration(ctx context.Context, order Amendment) error {
	accepted := state.AppliedUpdate{Version: order.amendment.Version, Digest: order.digest}
	_, err := n.node.Change(ctx, register.AmendConfiguration(order.baseVersion, accepted, order.Apply))
	return err
}

// SetEvacuation implements Register.
func (n registerAdapter) SetEvacuation(ctx context.Context, zone string, active bool) error {
	_, err := n.node.Change(ctx, register.SetEvacuation(zone, active))
	return err
}

// Read implements Register.
func (n registerAdapter) Read(ctx context.Context) (state.Record, error) { return n.node.Read(ctx) }
