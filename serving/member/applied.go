package member

import (
	"context"

	"rowanlink/serving/gossip"
)

// Applier waits until this process has applied the named entries, or newer versions of them.
type Applier func(ctx context.Context, headers []gossip.Header) error

// SetApplier sets the function that waits for the entries that pushes name by gossip.Message.Await. Without one an entry
// counts as applied once it is stored.
func (s *Service) SetApplier(applier Applier) { s.applier.Store(&applier) }

// awaitApplied waits until this process has applied entries. Errors are those of the Applier.
func (s *Service) awaitApplied(ctx context.Context, headers []gossip.Header) error {
	applier := s.applier.Load()
	if applier == nil || len(headers) == 0 {
		return nil
	}
	return (*applier)(ctx, headers)
}

// PushApplied sends entries to the member at an address, host:port, and returns once its process has applied them. An
// entry without a value isn't sent: the member gets it by gossip. The context bounds the call.
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
