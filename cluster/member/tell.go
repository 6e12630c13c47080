package member

import (
	"log/slog"
	"maps"
	"slices"

	"rowanlink/cluster"
)

// notifyChanges compares what is held now with what was told last; the caller holds the lock.
func (s *Session) notifyChanges() {
	now := s.Clock()
	for _, t := range slices.Sorted(maps.Keys(s.notified)) {
		if e, held := s.tenure.Epoch(t, now); !held || e != s.notified[t] {
			slog.Info("task over", "member", s.Self, "task", t, "epoch", s.notified[t])
			delete(s.notified, t)
			s.ResourcesLost.Add(1)
			s.queueNotification(t, 0)
		}
	}
	for _, t := range s.wishes.Requested() {
		if e, held := s.tenure.Epoch(t, now); held && s.notified[t] == 0 {
			slog.Info("task held", "member", s.Self, "task", t, "epoch", e, "session", s.tenure.Session())
			s.notified[t] = e
			s.ResourcesAcquired.Add(1)
			s.queueNotification(t, e)
		}
	}
	s.setActive(s.tenure.IsValid(now))
}

// queueNotification has Told called by a loop of its own: it may ask the session back.
func (s *Session) queueNotification(t cluster.Resource, e cluster.Epoch) {
	if s.OnChange != nil {
		s.notifications = append(s.notifications, func() { s.OnChange(t, e) })
		wake(s.notifyWake)
	}
}

func (s *Session) notifyLoop() {
	for {
		s.mu.Lock()
		tells := s.notifications
		s.notifications = nil
		s.mu.Unlock()
		for _, f := range tells {
			f()
		}
		if len(tells) > 0 {
			continue
		}
		select {
		case <-s.notifyWake:
		case <-s.ended:
			return
		}
	}
}
