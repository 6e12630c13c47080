package member

import (
	"context"

	"rowanlink/serving/errcode"
	"rowanlink/serving/gossip"
)

// Persister is a function that saves entries on this process's disk. It returns once they would survive a loss of power.
type Persister func(ctx context.Context, entries []gossip.Entry) error

// SetPersister sets the function that saves the entries of durable pushes. Without a Persister such pushes fail.
func (s *Service) SetPersister(persister Persister) { s.persister.Store(&persister) }

// persist saves entries by the Persister and returns its error; errcode.NotPersisted if there is none.
func (s *Service) persist(ctx context.Context, entries []gossip.Entry) error {
	persister := s.persister.Load()
	if persister == nil {
		return errcode.NotPersisted.With("member %s doesn't store entries on disk", s.options.Self.Name)
	}
	return (*persister)(ctx, entries)
}

// PushDurable sends entries to the member at an address, host:port, and returns once they are on that member's disk. The
// context bounds the call.
func (s *Service) PushDurable(ctx context.Context, address string, entries []gossip.Entry) error {
	message := gossip.Message{From: s.options.Self.Name, Entries: entries, Durable: true}
	_, err := pushMethod.Call(ctx, s.options.Client, address, &message)
	return err
}
