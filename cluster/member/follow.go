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

// watcher is a part of the state that is kept up with.
type watcher struct {
	version          uint64 // of raw
	snapshot         []byte
	deliver          func(version uint64, snapshot []byte)
	pending          bool   // not handed over yet
	deliveredVersion uint64 // the version that was, last
}

// Watch has newer snapshots of a part handed over, one at a time, the newest each time. A callback that
// waits holds up those of other parts, but no asks: guards against a freed task that is not taken meanwhile.
func (s *Session) Watch(part byte, each func(version uint64, snapshot []byte)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers[part] = &watcher{deliver: each}
	wake(s.pollWake)
}

// watchLoop asks any keeper for what is newer, another one each time that brought nothing: guards against one
// that is cut off from the others and never has anything new.
func (s *Session) watchLoop() {
	at, failures := cluster.MemberID(""), 0
	for !s.isClosed() {
		ask := s.watchRequest()
		if len(ask.Versions)+len(ask.WantedTasks) == 0 {
			select {
			case <-s.pollWake:
				continue
			case <-s.ended:
				return
			}
		}
		at = s.Leader.nextNode(at, failures > 0)
		status, raw, err := s.Leader.client.Call(at, transport.StatePath, transport.Encode(ask),
			duration(timing.LongPollTimeout(s.LeaseTTL)+timing.RequestTimeout(s.LeaseTTL)))
		var answer transport.StateResponse
		if err == nil && status == fasthttp.StatusOK {
			err = transport.Decode(raw, &answer)
		}
		if err != nil || status != fasthttp.StatusOK {
			failures++
			slog.Debug("state not answered", "keeper", at, "status", status, "why", err)
			if !s.sleep(timing.RetryBackoff(s.LeaseTTL, failures, s.Leader.drawRandom())) {
				return
			}
			continue
		}
		failures = 0
		if s.applyState(answer); len(answer.Parts)+len(answer.FreeTasks) == 0 {
			at = ""
		}
	}
}

func (s *Session) watchRequest() (ask transport.StateRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ask.Versions, ask.WantedTasks, ask.AcceptDeltas = map[byte]uint64{}, s.wishes.Blocked(), true
	for part, f := range s.watchers {
		ask.Versions[part] = f.version
	}
	return ask
}

func (s *Session) applyState(answer transport.StateResponse) {
	s.markFreed(answer.FreeTasks)
	for _, p := range answer.Parts {
		s.applyPart(p)
	}
}

// applyPart takes a part as a keeper told it. A change that does not fit has the whole asked for.
func (s *Session) applyPart(p transport.PartState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.watchers[p.Part]
	if f == nil || p.Version <= f.version || p.BaseVersion != 0 && p.BaseVersion != f.version {
		return
	}
	raw := p.Data
	if p.BaseVersion != 0 {
		var err error
		if raw, err = fsm.ApplyDelta(f.snapshot, raw); err != nil {
			slog.Warn("change of the state does not fit, the whole is asked for", "part", p.Part, "why", err)
			f.version = 0
			return
		}
		s.DeltasApplied.Add(1)
	}
	f.version, f.snapshot, f.pending = p.Version, raw, p.Version > f.deliveredVersion
	wake(s.deliverWake)
}

// deliverLoop hands news over to those who follow.
func (s *Session) deliverLoop() {
	for {
		select {
		case <-s.deliverWake:
		case <-s.ended:
			return
		}
		for f, version, raw := s.nextDelivery(); f != nil; f, version, raw = s.nextDelivery() {
			s.deliverMu.Lock()
			if !s.isClosed() {
				s.SnapshotsDelivered.Add(1)
				f.deliver(version, raw)
			}
			s.deliverMu.Unlock()
		}
	}
}

// nextDelivery takes what is to be handed over next; nil: nothing.
func (s *Session) nextDelivery() (f *watcher, version uint64, raw []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, part := range slices.Sorted(maps.Keys(s.watchers)) {
		if f := s.watchers[part]; f.pending {
			f.pending, f.deliveredVersion = false, f.version
			return f, f.version, f.snapshot
		}
	}
	return nil, 0, nil
}

// nextNode is a keeper other than the one asked last, where that one is no longer to be asked.
func (k *LeaderClient) nextNode(last cluster.MemberID, failed bool) cluster.MemberID {
	if last != "" && !failed {
		return last
	}
	for _, m := range k.rotatedNodes() {
		if m != last {
			return m
		}
	}
	return last
}
