package shardmap

import (
	"fmt"
	"hash/maphash"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

func fleetEpoch(e uint8) cluster.Epoch { return cluster.Epoch(e) }

// deeper is by how many moves more than in CI: ROWAN_SEARCH_DEEPER=2 takes minutes.
var deeper, _ = strconv.Atoi(os.Getenv("ROWAN_SEARCH_DEEPER"))

// node is how a state was first reached: by which of the moves.
type node struct {
	from *node
	move int
}

// story is what happened from the start on.
func (n *node) story(start world) string {
	var path []int
	for ; n.from != nil; n = n.from {
		path = append(path, n.move)
	}
	slices.Reverse(path)
	w, told := start, []string{}
	for _, i := range path {
		m := w.moves(nil)[i]
		told = append(told, w.tells(m))
		m.do(&w, m.i, m.n)
	}
	return strings.Join(append(told, w.broke()), "\n")
}

func (w *world) tells(m move) string {
	line := m.String()
	if strings.HasPrefix(m.name, "arrives") || m.name == "is lost" {
		line += fmt.Sprintf(" %+v", w.net[m.i])
	}
	return line
}

type found struct {
	states, depth, quiet int
	broken, story        string
}

var seed = maphash.MakeSeed()

// search goes through every state within so many moves, breadth first, and stops at the first that breaks.
// From each of every so many it also goes on without faults, until each doubt is settled and each webhook has
// ended.
func search(start *world, depth, every int) (f found) {
	type reached struct {
		world
		node *node
	}
	seen := map[uint64]struct{}{maphash.Comparable(seed, *start): {}}
	level := []reached{{*start, &node{}}}
	var moves []move
	for ; f.depth < depth && len(level) > 0; f.depth++ {
		var next []reached
		for l := range level {
			at := &level[l]
			moves = at.moves(moves[:0])
			for j, m := range moves {
				w := at.world
				m.do(&w, m.i, m.n)
				key := maphash.Comparable(seed, w)
				if _, known := seen[key]; known {
					continue
				}
				seen[key] = struct{}{}
				n := &node{at.node, j}
				if f.broken = w.broke(); f.broken == "" && every > 0 && len(seen)%every == 0 {
					f.quiet++
					f.broken = w.calms(nil)
				}
				if f.broken != "" {
					w.calms(&f.story)
					f.states, f.story = len(seen), n.story(*start)+"\n"+f.story
					return f
				}
				next = append(next, reached{w, n})
			}
		}
		level = next
	}
	f.states = len(seen)
	return f
}

// calms goes on without faults and tells what is not settled by then; into story, if any, goes how.
func (w world) calms(story *string) (broken string) {
	w.left.grants, w.left.clients = 100, 0 // what was never handed in stays so
	var moves []move
	for n := range 150 {
		moves = w.moves(moves[:0])
		i := slices.IndexFunc(moves, func(m move) bool { return m.calm })
		if i < 0 {
			break
		}
		if story != nil && n < 30 {
			*story += "then " + w.tells(moves[i]) + "\n"
		}
		if moves[i].do(&w, moves[i].i, moves[i].n); w.broke() != "" {
			return w.broke()
		}
	}
	for i := range w.members {
		for n := range w.webhooks {
			if w.at[i].copies[n].here {
				return "a webhook stays unsettled"
			}
		}
	}
	return ""
}

// Every state within so many moves: a webhook has one owner, who knows whether it may have run; it is called
// again only where its event type allows that; it is lost only with its owner's folder; once faults stop, it
// ends.
func TestEachWebhookHasOneOwnerInAnyStateWithinReach(t *testing.T) {
	const once, tokened, idempotent = api.AtMostOnce, api.Deduplicated, api.Idempotent
	for _, s := range []struct {
		name              string
		members, webhooks int8
		repeat            api.Semantics
		left              may
		start             []did
		depth             int
	}{
		{"a move", 2, 1, once, may{moves: 1, crashes: 1, grants: 2, backs: 1}, nil, 17},
		{"a move of two", 2, 2, once, may{moves: 1, crashes: 1, grants: 2}, passing, 12},
		{"on its way", 2, 1, once, may{moves: 1, crashes: 2, backs: 1, fulls: 1, grants: 2}, sent, 11},
		{"on its way, late and doubled", 2, 1, once, may{moves: 1, doubles: 2, backs: 1, grants: 2}, sent, 12},
		{"on its way, folder lost", 2, 1, once, may{moves: 1, folders: 1, doubles: 1, backs: 1}, sent, 12},
		{"taken, the home lost", 2, 1, tokened,
			may{moves: 1, unknowns: 1, ends: 2, losts: 2, grants: 3, times: 2, alone: 1}, ran, 10},
		{"in doubt, the home lost", 2, 1, tokened,
			may{clients: 1, ends: 1, losts: 2, grants: 2, times: 1, alone: 1}, asked, 9},
		{"called while it passes", 2, 1, once,
			may{moves: 1, unknowns: 1, crashes: 1, backs: 1, grants: 2}, calling, 22},
		{"handed in", 2, 1, once, may{clients: 1, doubles: 1, crashes: 1, fulls: 1}, nil, 16},
		{"handed in, folder lost", 2, 1, once, may{clients: 1, doubles: 1, folders: 1}, nil, 16},
		{"handed in, the home lost", 2, 1, tokened,
			may{clients: 1, ends: 1, losts: 1, grants: 1, times: 1}, nil, 16},
		{"the home lost twice", 2, 1, idempotent, may{clients: 1, ends: 1, losts: 2, grants: 3}, nil, 17},
		{"of three", 3, 1, idempotent, may{clients: 1, ends: 1, losts: 2, grants: 2}, nil, 13},
	} {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			start := newWorld(s.members, s.webhooks, s.repeat, s.left, wrong{}).after(s.start...)
			f := search(start, s.depth+deeper, 16)
			t.Logf("%d states within %d moves, %d of them calmed", f.states, f.depth, f.quiet)
			require.Empty(t, f.broken, f.story)
		})
	}
}

// twoBranches is a world after both members ended a doubt without knowing who has the webhook, at which each
// takes the other for its home.
func twoBranches(spoilt wrong) *world {
	w := newWorld(2, 1, api.Idempotent, may{grants: 3, losts: 1, crashes: 1}, spoilt)
	w.held, w.at[0].epoch = false, 0
	w.propose(Coordinator(1).FailOver([]Takeover{{1, who[0], who[1]}}))
	w.at[0].chart = w.chart
	for i := range w.members {
		p := &w.at[i]
		p.mem[0].in(0, func(k *CustodyTable, n WebhookID) {
			k.BeginOffer(n, ttl, Offer{To: who[1-i]})
			k.Fork(n)
		})
		p.disk, p.copies[0] = p.mem, held{here: true, ran: 0}
	}
	w.forked[0], w.promised[0] = true, true
	return w
}

func TestOfTwoBranchesOneStays(t *testing.T) {
	t.Parallel()
	f := search(twoBranches(wrong{}), 10+deeper, 16)
	t.Logf("%d states within %d moves, %d of them calmed", f.states, f.depth, f.quiet)
	require.Empty(t, f.broken, f.story)
}
