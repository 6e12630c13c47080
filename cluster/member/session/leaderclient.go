package session

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

// maxHops bounds the requests that start at one node: one to the node itself and one to the leader that it names.
const maxHops = 2

// LeaderClient sends requests to the leading raft node, which it finds by the redirects of the others. Its methods may
// be called concurrently.
type LeaderClient struct {
	client *transport.Client
	random func() float64 // from [0, 1); called by one goroutine at a time

	mu           sync.Mutex
	nodes        []cluster.MemberID
	leader       cluster.MemberID // the node that answered the last request; "": not known
	unresponsive cluster.MemberID // the node that last left a request without an answer; it is tried last
}

// NewLeaderClient returns a client for the given raft nodes. random returns numbers from [0, 1) and is called by one
// goroutine at a time.
func NewLeaderClient(client *transport.Client, nodes []cluster.MemberID, random func() float64) *LeaderClient {
	return &LeaderClient{client: client, random: random, nodes: slices.Clone(nodes)}
}

// SetNodes replaces the list of raft nodes and forgets which of them leads.
func (c *LeaderClient) SetNodes(nodes []cluster.MemberID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes, c.leader = slices.Clone(nodes), ""
}

// drawRandom returns a random number from [0, 1), for jitter.
func (c *LeaderClient) drawRandom() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random()
}

var (
	errNoLeader       = errors.New("no leading raft node was found in time")
	errUnknownOutcome = errors.New("the raft node doesn't know the outcome")
)

// Request sends a request to the leader and returns its response. Errors wrap transport.ErrNotSent if the request
// certainly had no effect, and transport.ErrOutcomeUnknown if it may have had an effect. After an unknown outcome no
// other node is tried.
func (c *LeaderClient) Request(path string, body []byte, within time.Duration) ([]byte, error) {
	deadline, cause := time.Now().Add(within), errNoLeader
	for _, node := range c.attemptOrder() {
		for hops := 0; node != "" && hops < maxHops; hops++ {
			response, err := c.client.Call(node, path, body, time.Until(deadline))
			next := cluster.MemberID("")
			switch {
			case errors.Is(err, transport.ErrOutcomeUnknown), err == nil && response.Status == fasthttp.StatusGatewayTimeout:
				c.markUnresponsive(node)
				if err == nil {
					err = errUnknownOutcome
				}
				return nil, fmt.Errorf("%w: raft node %s: status %d: %w", transport.ErrOutcomeUnknown, node, response.Status, err)
			case err != nil:
				cause = err
			case response.Status == fasthttp.StatusOK:
				c.setLeader(node)
				return response.Body, nil
			case response.Status == fasthttp.StatusMisdirectedRequest:
				next = namedLeader(response.Body, node)
			default:
				cause = fmt.Errorf("raft node %s: status %d: %.100s", node, response.Status, response.Body)
			}
			node = next
		}
	}
	c.setLeader("")
	return nil, fmt.Errorf("%w: %w", transport.ErrNotSent, cause)
}

// namedLeader returns the leader that a node's response redirects to, or "" if it names none or the node itself.
func namedLeader(answer []byte, node cluster.MemberID) cluster.MemberID {
	var elsewhere transport.NotLeaderResponse
	if err := transport.Decode(answer, &elsewhere); err != nil || elsewhere.Leader == node {
		return ""
	}
	return elsewhere.Leader
}

// Propose appends a command to the raft log. It returns the result of the component that applied the command and the
// index of the log entry. If the component rejected the command, it returns the component's error; other errors are
// those of Request.
func (c *LeaderClient) Propose(command cluster.Command, within time.Duration) (answer []byte, index uint64, err error) {
	raw, err := c.Request(transport.ProposePath, transport.Encode(command), within)
	if err != nil {
		return nil, 0, err
	}
	var proposed transport.ProposeResponse
	if err := transport.Decode(raw, &proposed); err != nil {
		return nil, 0, fmt.Errorf("%w: %w", transport.ErrOutcomeUnknown, err)
	}
	return proposed.Result, proposed.Index, fsm.ErrorFromCode(proposed.ErrorCode)
}

// IsLeaderUnreached reports whether an error of Request or Propose means that no leader answered.
func IsLeaderUnreached(err error) bool {
	return errors.Is(err, transport.ErrNotSent) || errors.Is(err, transport.ErrOutcomeUnknown)
}

// attemptOrder returns the nodes in the order in which they are tried: the last known leader first, the unresponsive
// node last, and the others in between, beginning with a random one.
func (c *LeaderClient) attemptOrder() []cluster.MemberID {
	nodes := c.rotatedNodes()
	c.mu.Lock()
	defer c.mu.Unlock()
	slices.SortStableFunc(nodes, func(a, b cluster.MemberID) int { return c.attemptRank(a) - c.attemptRank(b) })
	return nodes
}

func (c *LeaderClient) attemptRank(node cluster.MemberID) int {
	switch node {
	case c.leader:
		return 0
	case c.unresponsive:
		return 2
	}
	return 1
}

// rotatedNodes returns all nodes, beginning with a random one.
func (c *LeaderClient) rotatedNodes() (nodes []cluster.MemberID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := int(c.random() * float64(len(c.nodes)))
	for i := range c.nodes {
		nodes = append(nodes, c.nodes[(first+i)%len(c.nodes)])
	}
	return nodes
}

// nextNode returns the node to poll next: the last one again, or another one if the last poll failed or last is "".
func (c *LeaderClient) nextNode(last cluster.MemberID, failed bool) cluster.MemberID {
	if last != "" && !failed {
		return last
	}
	for _, node := range c.rotatedNodes() {
		if node != last {
			return node
		}
	}
	return last
}

func (c *LeaderClient) markUnresponsive(node cluster.MemberID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader, c.unresponsive = "", node
}

func (c *LeaderClient) setLeader(node cluster.MemberID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = node
	if node == c.unresponsive {
		c.unresponsive = ""
	}
}
