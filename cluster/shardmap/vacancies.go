package shardmap

import (
	"slices"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// startsBy is for how many terms a home that has never served is waited for: a fleet starts one by one.
const startsBy = 2

// Able is a member as a home: ranges at the most in Room, 0: no bound.
type Able struct {
	Weight
	Room int
}

// Vacancies is what the conductor sees of ranges whose home holds their task no more.
type Vacancies struct {
	term  api.Micros
	since map[cluster.RangeID]api.Micros
}

// NewVacancies sees none yet; term is that of a session.
func NewVacancies(term api.Micros) *Vacancies {
	return &Vacancies{term: term, since: map[cluster.RangeID]api.Micros{}}
}

// Forget is for one that conducts no more.
func (v *Vacancies) Forget() { clear(v.since) }

// Takes are the ranges to be given to other members now: those whose home has no session. One that served has
// had its whole term; one that is only named is waited for. They go to those with the least for their weight.
func (v *Vacancies) Takes(m *Map, by Holders, alive map[cluster.MemberID]bool, members []Able,
	now api.Micros) (takes []Takeover) {
	has := map[cluster.MemberID]int{}
	for _, r := range m.Ranges {
		if !r.Piece { // a piece takes no room
			has[r.Home]++
		}
	}
	var head Takeover // of the range that comes next's beginning
	for _, r := range m.Ranges {
		if !r.Piece {
			head = Takeover{}
		}
		if _, _, _, held := by.Holder(cluster.RangeOwnerResource(r.ID)); held || alive[r.Home] {
			delete(v.since, r.ID)
			continue
		}
		if _, seen := v.since[r.ID]; !seen {
			v.since[r.ID] = now
		}
		if r.Standing != Seated && now-v.since[r.ID] < startsBy*v.term {
			continue
		}
		to := head.To
		if !r.Piece || head.Lost != r.Home { // else it goes where its range goes
			var ok bool
			if to, ok = lightest(members, alive, has, r.Piece); !ok {
				continue
			}
		}
		take := Takeover{Range: r.ID, Lost: r.Home, To: to}
		if takes = append(takes, take); !r.Piece {
			has[r.Home]--
			has[to]++
			head = take
		}
	}
	return takes
}

// lightest is the live member that one range more makes the least heavy for its weight and that has room. A
// piece needs none.
func lightest(members []Able, alive map[cluster.MemberID]bool, has map[cluster.MemberID]int,
	piece bool) (cluster.MemberID, bool) {
	able := slices.DeleteFunc(slices.Clone(members), func(w Able) bool {
		return !alive[w.Member] || !(w.Weight.Weight > 0) || !piece && w.Room > 0 && has[w.Member] >= w.Room
	})
	if len(able) == 0 {
		return "", false
	}
	load := func(w Able) float64 { return float64(has[w.Member]+1) / w.Weight.Weight }
	return slices.MinFunc(able, func(a, b Able) int {
		switch la, lb := load(a), load(b); {
		case la < lb:
			return -1
		case la > lb:
			return 1
		}
		return 0
	}).Member, true
}
