package membership

import (
	"slices"
	"time"

	"rowanlink/serving/state"
)

// Tick does what time brings: it returns the own words as a watcher that are to be spread, and the members that
// were forgotten.
func (t *Table) Tick(now time.Time) (words []Suspicion, forgotten []string) {
	if now.Sub(t.lastTick) > standstill {
		for _, seen := range t.watched {
			seen.renew(now)
		}
	}
	t.lastTick = now
	t.trimRing(now)
	if t.watchStale {
		t.watchStale = false
		t.updateWatched(now)
	}
	for name, seen := range t.watched {
		words = append(words, t.look(now, name, seen)...)
	}
	forgotten = t.forget(now)
	if t.unjudged {
		t.unjudged = false
		t.judge(now)
		t.judgeZones(now)
	}
	return words, forgotten
}

// NextTimeout is when the patience with a watched member ends if nothing is heard of it; zero where none is watched.
func (t *Table) NextTimeout() (next time.Time) {
	for name, seen := range t.watched {
		found, ok := t.members[name]
		if !ok || seen.suspected || !found.live() {
			continue
		}
		if expiry := seen.heard.Add(t.patience(found.member, seen)); next.IsZero() || expiry.Before(next) {
			next = expiry
		}
	}
	return next
}

// look checks one watched member.
func (t *Table) look(now time.Time, name string, seen *watch) []Suspicion {
	found, ok := t.members[name]
	if !ok {
		return nil
	}
	if seen.suspected {
		if !t.spent(seen.word, found.member) {
			return nil
		}
		seen.suspected = false
		return []Suspicion{t.speak(seen, found.member, true)}
	}
	if !found.live() || now.Sub(seen.heard) < t.patience(found.member, seen) {
		return nil
	}
	seen.suspected = true
	return []Suspicion{t.speak(seen, found.member, false)}
}

// spent tells whether a suspicion speaks of an old word of its member, or of a member that has left.
func (t *Table) spent(word Suspicion, member state.Member) bool {
	return word.Incarnation != member.Incarnation || word.Sequence < member.Sequence ||
		hasLeft(member)
}

// speak makes the own next word on a watched member and takes it in.
func (t *Table) speak(seen *watch, member state.Member, withdrawn bool) Suspicion {
	t.wordCount++
	seen.word = Suspicion{
		Member:             member.Name,
		Incarnation:        member.Incarnation,
		Sequence:           member.Sequence,
		Watcher:            t.self,
		WatcherIncarnation: t.Self().Incarnation,
		Revision:           t.wordCount,
		Withdrawn:          withdrawn,
	}
	t.MergeSuspicion(seen.word)
	return seen.word
}

// patience is how long the own process waits for a member's heartbeat. It is longer while this process itself is late
// or the member's heartbeats are.
func (t *Table) patience(member state.Member, seen *watch) time.Duration {
	patience := SuspicionTimeout
	if member.Region != t.Self().Region {
		patience = RemoteSuspicionTimeout
	}
	return patience + min(latePatience*t.late+lateHeartbeats*seen.late, latePatienceMost)
}

// intervalOf is the time between two heartbeats of a member to the own process.
func (t *Table) intervalOf(member state.Member) time.Duration {
	if member.Region != t.Self().Region {
		return RemoteIntervalFactor * HeartbeatInterval
	}
	return HeartbeatInterval
}

// RecordDelay notes by how much the own process was late with something that it had planned. What is heard of others comes
// late too then, and to suspect them would load a system that is short of processor time already.
func (t *Table) RecordDelay(late time.Duration) {
	t.late = decayed(t.late, min(late, latePatienceMost/latePatience))
}

// decayed takes a new reading of a lateness: the greatest one counts, and falls with each further reading.
func decayed(known, late time.Duration) time.Duration {
	known -= known / lateDecay
	if late <= lateLeast {
		return known
	}
	return max(known, late)
}

// updateWatched begins to count for members that the ring has given to the own process, and ends it for others.
// Members that it suspects are kept until they speak again or are forgotten.
func (t *Table) updateWatched(now time.Time) {
	mine := map[string]bool{}
	for name, found := range t.members {
		if name == t.self || !found.live() && t.watched[name] == nil {
			continue
		}
		isWatcher := func(m state.Member) bool { return m.Name == t.self }
		mine[name] = slices.ContainsFunc(t.Watchers(name), isWatcher)
	}
	for name, seen := range t.watched {
		if _, known := t.members[name]; !known || !mine[name] && !seen.suspected {
			delete(t.watched, name)
		}
	}
	for name, watching := range mine {
		if watching && t.watched[name] == nil {
			t.watched[name] = &watch{heard: now}
		}
	}
}
