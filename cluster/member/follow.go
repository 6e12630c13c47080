package member

import (
	"log/slog"
	"maps"
	"slices"

	"github.com/valyala/fasthttp"

	"rowanlink/cluster"
	"rowanlink/cluster/fsm"
	"rowanlink/cluster/timing"
	"rowanlink/cluster/transport"
)

// followed is a part of the state that is kept up with.
type followed struct {
	version uint64 // of raw
	raw     []byte
	each    func(version uint64, snapshot []byte)
	fresh   bool   // not handed over yet
	handed  uint64 // the version that was, last
}

// Follow has newer snapshots of a part handed over, one at a time, the newest each time. A callback that
// waits holds up those of other parts, but no asks: guards against a freed task that is not taken meanwhile.
func (s *Session) Follow(part byte, each func(version uint64, snapshot []byte)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.follows[part] = &followed{each: each}
	nudge(s.look)
}

// follow asks any keeper for what is newer, another one each time that brought nothing: guards against one
// that is cut off from the others and never has anything new.
func (s *Session) follow() {
	at, failures := cluster.MemberID(""), 0
	for !s.closed() {
		ask := s.unknown()
		if len(ask.Versions)+len(ask.Wants) == 0 {
			select {
			case <-s.look:
				continue
			case <-s.ended:
				return
			}
		}
		at = s.Keepers.another(at, failures > 0)
		status, raw, err := s.Keepers.talk.Say(at, transport.StatePath, transport.Encode(ask),
			span(timing.LongPollTimeout(s.Term)+timing.RequestTimeout(s.Term)))
		var answer transport.StateAnswer
		if err == nil && status == fasthttp.StatusOK {
			err = transport.Decode(raw, &answer)
		}
		if err != nil || status != fasthttp.StatusOK {
			failures++
			slog.Debug("state not answered", "keeper", at, "status", status, "why", err)
			if !s.pause(timing.RetryBackoff(s.Term, failures, s.Keepers.draw())) {
				return
			}
			continue
		}
		failures = 0
		if s.news(answer); len(answer.Parts)+len(answer.Free) == 0 {
			at = ""
		}
	}
}

func (s *Session) unknown() (ask transport.StateAsk) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ask.Versions, ask.Wants, ask.Changes = map[byte]uint64{}, s.wishes.Blocked(), true
	for part, f := range s.follows {
		ask.Versions[part] = f.version
	}
	return ask
}

func (s *Session) news(answer transport.StateAnswer) {
	s.freed(answer.Free)
	for _, p := range answer.Parts {
		s.newer(p)
	}
}

// newer takes a part as a keeper told it. A change that does not fit has the whole asked for.
func (s *Session) newer(p transport.PartState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.follows[p.Part]
	if f == nil || p.Version <= f.version || p.Since != 0 && p.Since != f.version {
		return
	}
	raw := p.Snapshot
	if p.Since != 0 {
		var err error
		if raw, err = fsm.Changed(f.raw, raw); err != nil {
			slog.Warn("change of the state does not fit, the whole is asked for", "part", p.Part, "why", err)
			f.version = 0
			return
		}
		s.Changes.Add(1)
	}
	f.version, f.raw, f.fresh = p.Version, raw, p.Version > f.handed
	nudge(s.toHand)
}

// handOut hands news over to those who follow.
func (s *Session) handOut() {
	for {
		select {
		case <-s.toHand:
		case <-s.ended:
			return
		}
		for f, version, raw := s.fetch(); f != nil; f, version, raw = s.fetch() {
			s.handing.Lock()
			if !s.closed() {
				s.News.Add(1)
				f.each(version, raw)
			}
			s.handing.Unlock()
		}
	}
}

// fetch takes what is to be handed over next; nil: nothing.
func (s *Session) fetch() (f *followed, version uint64, raw []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, part := range slices.Sorted(maps.Keys(s.follows)) {
		if f := s.follows[part]; f.fresh {
			f.fresh, f.handed = false, f.version
			return f, f.version, f.raw
		}
	}
	return nil, 0, nil
}

// another is a keeper other than the one asked last, where that one is no longer to be asked.
func (k *Keepers) another(last cluster.MemberID, failed bool) cluster.MemberID {
	if last != "" && !failed {
		return last
	}
	for _, m := range k.spread() {
		if m != last {
			return m
		}
	}
	return last
}
