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

// LeaderClient finds the one that leads.
type LeaderClient struct {
	client *transport.Client
	random func() float64 // a draw from [0, 1)

	mu           sync.Mutex
	nodes        []cluster.MemberID
	leader       cluster.MemberID // by the last answer; "": not known
	unresponsive cluster.MemberID // it did not answer the last time: asked last
}

// NewLeaderClient knows the keepers' names; chance is called by one caller at a time.
func NewLeaderClient(t *transport.Client, all []cluster.MemberID, chance func() float64) *LeaderClient {
	return &LeaderClient{client: t, random: chance, nodes: slices.Clone(all)}
}

// SetNodes takes other names.
func (k *LeaderClient) SetNodes(all []cluster.MemberID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.nodes, k.leader = slices.Clone(all), ""
}

// drawRandom is by chance, for spreading.
func (k *LeaderClient) drawRandom() float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.random()
}

// errNoLeader: no keeper that leads was found in time. What was asked was not done.
var errNoLeader = errors.New("no keeper leads, as far as was found")

// Request brings what only the leader answers to it, within the time. Errors: talk.ErrNotSent, wrapped, where it
// surely was not done, talk.ErrUnsure where it may have been.
func (k *LeaderClient) Request(path string, body []byte, within time.Duration) ([]byte, error) {
	until, why := time.Now().Add(within), errNoLeader
	for _, to := range k.attemptOrder() {
		for hops := 0; to != "" && hops < 2; hops++ {
			status, answer, err := k.client.Call(to, path, body, time.Until(until))
			next := cluster.MemberID("")
			switch {
			case errors.Is(err, transport.ErrOutcomeUnknown), err == nil && status == fasthttp.StatusGatewayTimeout:
				k.markUnresponsive(to)
				return nil, fmt.Errorf("%w: keeper %s: status %d: %w", transport.ErrOutcomeUnknown, to, status,
					orUnknownOutcome(err))
			case err != nil:
				why = err
			case status == fasthttp.StatusOK:
				k.setLeader(to)
				return answer, nil
			case status == fasthttp.StatusMisdirectedRequest:
				var other transport.NotLeaderResponse
				if transport.Decode(answer, &other) == nil && other.Leader != to {
					next = other.Leader
				}
			default:
				why = fmt.Errorf("keeper %s: status %d: %.100s", to, status, answer)
			}
			to = next
		}
	}
	k.setLeader("")
	return nil, fmt.Errorf("%w: %w", transport.ErrNotSent, why)
}

func orUnknownOutcome(err error) error {
	if err == nil {
		return errors.New("its outcome is not known there")
	}
	return err
}

// attemptOrder is in which they are asked: the one that led, then the others.
func (k *LeaderClient) attemptOrder() []cluster.MemberID {
	all := k.rotatedNodes()
	k.mu.Lock()
	defer k.mu.Unlock()
	slices.SortStableFunc(all, func(a, b cluster.MemberID) int { return k.attemptRank(a) - k.attemptRank(b) })
	return all
}

func (k *LeaderClient) attemptRank(m cluster.MemberID) int {
	switch m {
	case k.leader:
		return 0
	case k.unresponsive:
		return 2
	}
	return 1
}

func (k *LeaderClient) markUnresponsive(m cluster.MemberID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leader, k.unresponsive = "", m
}

// rotatedNodes is all of them, from a drawn one on.
func (k *LeaderClient) rotatedNodes() (all []cluster.MemberID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	first := int(k.random() * float64(len(k.nodes)))
	for i := range k.nodes {
		all = append(all, k.nodes[(first+i)%len(k.nodes)])
	}
	return all
}

func (k *LeaderClient) setLeader(m cluster.MemberID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.leader = m; m == k.unresponsive {
		k.unresponsive = ""
	}
}

// Propose has a command put in the log and answers what its part said, with the entry's index, or which
// refusal; errors as Ask's besides.
func (k *LeaderClient) Propose(c cluster.Command, within time.Duration) (answer []byte, index uint64, err error) {
	raw, err := k.Request(transport.ProposePath, transport.Encode(c), within)
	if err != nil {
		return nil, 0, err
	}
	var p transport.ProposeResponse
	if err := transport.Decode(raw, &p); err != nil {
		return nil, 0, fmt.Errorf("%w: %w", transport.ErrOutcomeUnknown, err)
	}
	return p.Result, p.Index, fsm.ErrorFromCode(p.ErrorCode)
}
