package member

import (
	"log/slog"
	"maps"
	"slices"

	"rowanlink/cluster"
)

// tell compares what is held now with what was told last; the caller holds the lock.
func (s *Session) tell() {
	now := s.Clock()
	for _, t := range slices.Sorted(maps.Keys(s.has)) {
		if e, held := s.tenure.Epoch(t, now); !held || e != s.has[t] {
			slog.Info("task over", "member", s.Self, "task", t, "epoch", s.has[t])
			delete(s.has, t)
			s.Lost.Add(1)
			s.told(t, 0)
		}
	}
	for _, t := range s.wishes.Requested() {
		if e, held := s.tenure.Epoch(t, now); held && s.has[t] == 0 {
			slog.Info("task held", "member", s.Self, "task", t, "epoch", e, "session", s.tenure.Session())
			s.has[t] = e
			s.Gained.Add(1)
			s.told(t, e)
		}
	}
	s.stands(s.tenure.IsValid(now))
}

// told has Told called by a loop of its own: it may ask the session back.
func (s *Session) told(t cluster.Resource, e cluster.Epoch) {
	if s.Told != nil {
		s.tells = append(s.tells, func() { s.Told(t, e) })
		nudge(s.toTell)
	}
}

func (s *Session) telling() {
	for {
		s.mu.Lock()
		tells := s.tells
		s.tells = nil
		s.mu.Unlock()
		for _, f := range tells {
			f()
		}
		if len(tells) > 0 {
			continue
		}
		select {
		case <-s.toTell:
		case <-s.ended:
			return
		}
	}
}
