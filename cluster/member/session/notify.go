package session

import (
	"log/slog"
	"maps"
	"slices"

	"rowanlink/cluster"
)

// notifyChanges compares the leases held now with those that OnChange was last told about, and queues a call of
// OnChange for each difference. The caller holds the lock.
func (s *Session) notifyChanges() {
	now := s.Clock()
	for _, resource := range slices.Sorted(maps.Keys(s.notified)) {
		before := s.notified[resource]
		if epoch, held := s.holder.Epoch(resource, now); held && epoch == before {
			continue
		}
		slog.Info("lease no longer held", "member", s.Self, "resource", resource, "epoch", before)
		delete(s.notified, resource)
		s.ResourcesLost.Add(1)
		s.queueNotification(resource, 0)
	}
	for _, resource := range s.reconciler.Requested() {
		epoch, held := s.holder.Epoch(resource, now)
		if !held || s.notified[resource] != 0 {
			continue
		}
		slog.Info("lease acquired", "member", s.Self, "resource", resource, "epoch", epoch, "session", s.holder.Session())
		s.notified[resource] = epoch
		s.ResourcesAcquired.Add(1)
		s.queueNotification(resource, epoch)
	}
	s.setActive(s.holder.IsValid(now))
}

// queueNotification queues a call of OnChange for notifyLoop. OnChange can't be called here, since it may call methods
// of the session, whose lock is held.
func (s *Session) queueNotification(resource cluster.Resource, epoch cluster.Epoch) {
	if s.OnChange == nil {
		return
	}
	s.notifications = append(s.notifications, func() { s.OnChange(resource, epoch) })
	s.notifyWake.Send()
}

func (s *Session) notifyLoop() {
	for {
		queued := s.takeNotifications()
		for _, notify := range queued {
			notify()
		}
		if len(queued) > 0 {
			continue
		}
		select {
		case <-s.notifyWake:
		case <-s.ended:
			return
		}
	}
}

func (s *Session) takeNotifications() []func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	queued := s.notifications
	s.notifications = nil
	return queued
}
