package member

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"rowanlink/cluster"
	"rowanlink/cluster/fsm"
	"rowanlink/cluster/transport"
)

// Keepers finds the one that leads.
type Keepers struct {
	talk   *transport.Talk
	chance func() float64 // a draw from [0, 1)

	mu     sync.Mutex
	all    []cluster.MemberID
	leader cluster.MemberID // by the last answer; "": not known
	silent cluster.MemberID // it did not answer the last time: asked last
}

// NewKeepers knows the keepers' names; chance is called by one caller at a time.
func NewKeepers(t *transport.Talk, all []cluster.MemberID, chance func() float64) *Keepers {
	return &Keepers{talk: t, chance: chance, all: slices.Clone(all)}
}

// Renew takes other names.
func (k *Keepers) Renew(all []cluster.MemberID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.all, k.leader = slices.Clone(all), ""
}

// draw is by chance, for spreading.
func (k *Keepers) draw() float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.chance()
}

// errNobody: no keeper that leads was found in time. What was asked was not done.
var errNobody = errors.New("no keeper leads, as far as was found")

// Ask brings what only the leader answers to it, within the time. Errors: talk.ErrNotSent, wrapped, where it
// surely was not done, talk.ErrUnsure where it may have been.
func (k *Keepers) Ask(path string, body []byte, within time.Duration) ([]byte, error) {
	until, why := time.Now().Add(within), errNobody
	for _, to := range k.order() {
		for hops := 0; to != "" && hops < 2; hops++ {
			status, answer, err := k.talk.Say(to, path, body, time.Until(until))
			next := cluster.MemberID("")
			switch {
			case errors.Is(err, transport.ErrUnsure), err == nil && status == fasthttp.StatusGatewayTimeout:
				k.silence(to)
				return nil, fmt.Errorf("%w: keeper %s: status %d: %w", transport.ErrUnsure, to, status,
					cmpErr(err))
			case err != nil:
				why = err
			case status == fasthttp.StatusOK:
				k.leads(to)
				return answer, nil
			case status == fasthttp.StatusMisdirectedRequest:
				var other transport.Elsewhere
				if transport.Decode(answer, &other) == nil && other.Leads != to {
					next = other.Leads
				}
			default:
				why = fmt.Errorf("keeper %s: status %d: %.100s", to, status, answer)
			}
			to = next
		}
	}
	k.leads("")
	return nil, fmt.Errorf("%w: %w", transport.ErrNotSent, why)
}

func cmpErr(err error) error {
	if err == nil {
		return errors.New("its outcome is not known there")
	}
	return err
}

// order is in which they are asked: the one that led, then the others.
func (k *Keepers) order() []cluster.MemberID {
	all := k.spread()
	k.mu.Lock()
	defer k.mu.Unlock()
	slices.SortStableFunc(all, func(a, b cluster.MemberID) int { return k.rank(a) - k.rank(b) })
	return all
}

func (k *Keepers) rank(m cluster.MemberID) int {
	switch m {
	case k.leader:
		return 0
	case k.silent:
		return 2
	}
	return 1
}

func (k *Keepers) silence(m cluster.MemberID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leader, k.silent = "", m
}

// spread is all of them, from a drawn one on.
func (k *Keepers) spread() (all []cluster.MemberID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	first := int(k.chance() * float64(len(k.all)))
	for i := range k.all {
		all = append(all, k.all[(first+i)%len(k.all)])
	}
	return all
}

func (k *Keepers) leads(m cluster.MemberID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.leader = m; m == k.silent {
		k.silent = ""
	}
}

// Propose has a command put in the log and answers what its part said, with the entry's index, or which
// refusal; errors as Ask's besides.
func (k *Keepers) Propose(c cluster.Command, within time.Duration) (answer []byte, index uint64, err error) {
	raw, err := k.Ask(transport.ProposePath, transport.Encode(c), within)
	if err != nil {
		return nil, 0, err
	}
	var p transport.Proposed
	if err := transport.Decode(raw, &p); err != nil {
		return nil, 0, fmt.Errorf("%w: %w", transport.ErrUnsure, err)
	}
	return p.Answer, p.Index, fsm.Refusal(p.Refusal)
}
