package member

import (
	"context"

	"rowanlink/serving/gossip"
)

// Applier is a function that returns once this process has applied the named entries, or newer versions of them. What it
// means to apply an entry is up to the process: an agent has applied it once its proxy has.
type Applier func(ctx context.Context, headers []gossip.Header) error

// SetApplier sets the function that waits for the entries in gossip.Message.Await. Without an Applier an entry counts as
// applied as soon as it is stored.
func (s *Service) SetApplier(applier Applier) { s.applier.Store(&applier) }

// awaitApplied waits until this process has applied the named entries. Errors are those of the Applier.
func (s *Service) awaitApplied(ctx context.Context, headers []gossip.Header) error {
	applier := s.applier.Load()
	if applier == nil || len(headers) == 0 {
		return nil
	}
	return (*applier)(ctx, headers)
}

// PushApplied sends entries to the member at an address, host:port, and returns once the receiving process has applied
// them. An entry without a value isn't sent, only awaited: the member receives it by gossip. The context bounds the call.
func (s *Service) PushApplied(ctx context.Context, address string, entries []gossip.Entry) error {
	message := gossip.Message{From: s.options.Self.Name, NoForward: true}
	for _, entry := range entries {
		message.Await = append(message.Await, entry.Header())
		if entry.Value != nil {
			message.Entries = append(message.Entries, entry)
		}
	}
	_, err := pushMethod.Call(ctx, s.options.Client, address, &message)
	return err
}
