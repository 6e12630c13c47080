package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rowanlink/serving/membership"
)

// calmSpan is how long a member and its ways must have been free of trouble for a judgement on it to be checked. It
// is longer than any patience, so that whatever a trouble hid has been heard again.
const calmSpan = 6 * time.Second

// way is a direction between two zones.
type way struct{ from, to string }

// troubles plays drawn troubles on a simulation and remembers where and when they were.
type troubles struct {
	*simulation
	draw        *rapid.T
	revision    uint64
	cut         map[way]bool
	nodeTrouble map[*simNode]time.Time
	wayTrouble  map[way]time.Time
	lossTrouble time.Time
}

// newTroubles starts members that all know each other.
func newTroubles(draw *rapid.T, size int) *troubles {
	s := started(draw, rapid.Uint64().Draw(draw, "seed"), size, threeZones)
	p := &troubles{simulation: s, draw: draw, cut: map[way]bool{},
		nodeTrouble: map[*simNode]time.Time{}, wayTrouble: map[way]time.Time{}}
	s.blocked = func(from, to *simNode) bool { return p.cut[way{from.member.Zone, to.member.Zone}] }
	return p
}

// pick draws a machine.
func (p *troubles) pick(label string) *simNode { return rapid.SampledFrom(p.nodes).Draw(p.draw, label) }

// pickWay draws two zones.
func (p *troubles) pickWay() way {
	zones := []string{"a", "b", "c"}
	from := rapid.IntRange(0, 2).Draw(p.draw, "zone")
	return way{zones[from], zones[(from+rapid.IntRange(1, 2).Draw(p.draw, "other"))%3]}
}

// one plays one drawn trouble.
func (p *troubles) one() {
	switch kind := rapid.IntRange(0, 7).Draw(p.draw, "trouble"); kind {
	case 0:
		n := p.pick("kill")
		p.kill(n)
		p.nodeTrouble[n] = p.now
	case 1:
		n := p.pick("power off")
		p.powerOff(n)
		p.nodeTrouble[n] = p.now
	case 2:
		p.restart(p.pick("start"))
	case 3:
		n := p.pick("freeze")
		span := time.Duration(rapid.IntRange(100, 5000).Draw(p.draw, "ms")) * time.Millisecond
		p.freeze(n, span)
		p.nodeTrouble[n] = p.now.Add(span)
	case 4:
		w := p.pickWay()
		p.setCut(w, true)
		if rapid.Bool().Draw(p.draw, "both ways") {
			p.setCut(way{w.to, w.from}, true)
		}
	case 5:
		w := p.pickWay()
		p.setCut(w, false)
		p.setCut(way{w.to, w.from}, false)
	case 6:
		p.putNewest()
	case 7:
		p.lost = rapid.Float64Range(0, 0.1).Draw(p.draw, "lost")
		p.lossTrouble = p.now
	}
}

func (p *troubles) setCut(w way, cut bool) {
	p.cut[w] = cut
	p.wayTrouble[w] = p.now
}

func (p *troubles) restart(n *simNode) {
	if !n.running {
		p.start(n)
		p.nodeTrouble[n] = p.now
	}
}

// putNewest has a running machine take in a newer record.
func (p *troubles) putNewest() {
	if running := p.runningNodes(); len(running) > 0 {
		p.revision++
		p.put(running[p.random.IntN(len(running))], p.revision, 200)
	}
}

// endAll ends all troubles.
func (p *troubles) endAll() {
	p.lost = 0
	clear(p.cut)
	for _, n := range p.nodes {
		p.restart(n)
	}
	p.putNewest()
}

// calm tells whether two machines have long been able to reach each other.
func (p *troubles) calm(x, y *simNode) bool {
	for _, n := range []*simNode{x, y} {
		if !n.running || p.now.Sub(p.nodeTrouble[n]) < calmSpan {
			return false
		}
	}
	for _, w := range []way{{x.member.Zone, y.member.Zone}, {y.member.Zone, x.member.Zone}} {
		if p.cut[w] || p.now.Sub(p.wayTrouble[w]) < calmSpan {
			return false
		}
	}
	return true
}

func (p *troubles) byName(name string) *simNode {
	for _, n := range p.nodes {
		if n.member.Name == name {
			return n
		}
	}
	return nil
}

// checkNoneWronglyDown looks for members that are held down though most watchers, whoever they are in anybody's
// view, can hear them and the holder can hear those.
func (p *troubles) checkNoneWronglyDown() {
	if p.lost > 0 || p.now.Sub(p.lossTrouble) < calmSpan {
		return
	}
	for _, holder := range p.nodes {
		if !holder.running || p.now.Sub(p.nodeTrouble[holder]) < calmSpan {
			continue
		}
		for _, member := range holder.node.members.DownMembers() {
			x := p.byName(member.Name)
			hearing, watchers := 0, holder.node.members.Watchers(member.Name)
			for _, watcher := range watchers {
				w := p.byName(watcher.Name)
				if p.calm(x, w) && (w == holder || p.calm(w, holder)) {
					hearing++
				}
			}
			if 2*hearing > len(watchers) {
				p.draw.Fatalf("%s holds %s down though %d watchers hear it", holder.member.Name, member.Name, hearing)
			}
		}
	}
}

// equal tells whether all running members know the same.
func (p *troubles) equal() bool {
	running := p.runningNodes()
	for _, n := range running {
		if !equalSummaries(n.node.engine.Summary(), running[0].node.engine.Summary()) {
			return false
		}
	}
	return true
}

func equalSummaries(one, other []uint32) bool {
	for i := range one {
		if one[i] != other[i] {
			return false
		}
	}
	return true
}

func TestTroublesEnd(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		p := newTroubles(draw, rapid.IntRange(2, 14).Draw(draw, "size"))
		for range rapid.IntRange(1, 12).Draw(draw, "troubles") {
			p.one()
			pause := time.Duration(rapid.IntRange(0, 4000).Draw(draw, "pause ms")) * time.Millisecond
			for end := p.now.Add(pause); p.now.Before(end); {
				p.run(min(200*time.Millisecond, end.Sub(p.now)))
				p.checkNoneWronglyDown()
			}
		}
		p.endAll()
		frozen := time.Duration(0)
		for _, n := range p.nodes {
			frozen = max(frozen, n.frozenUntil.Sub(p.now))
		}
		p.run(frozen)
		p.runUntil(5*time.Second, "all see all", p.settled)
		p.runUntil(2*time.Second, "the newest record is everywhere", p.allKnow(p.revision))
		p.runUntil(3*time.Second, "all know the same", p.equal)
		p.run(2 * membership.SuspicionTimeout)
		require.True(draw, p.settled(), "calm lasts")
	})
}
