package peer

import (
	"fmt"
	"sync"

	"github.com/valyala/fasthttp"

	"rowanlink/cluster"
	"rowanlink/cluster/shardmap"
	"rowanlink/cluster/transport"
	"rowanlink/webhook/api"
)

// Client sends transfers and queries to other members. Its methods may be called concurrently.
type Client struct {
	transport *transport.Client

	mu           sync.Mutex
	incarnations map[cluster.MemberID]uint64 // of the members' custody directories, by their last replies; 0: not known
}

// NewClient returns a Client that sends over the connections of t.
func NewClient(t *transport.Client) *Client {
	return &Client{transport: t, incarnations: map[cluster.MemberID]uint64{}}
}

// SendResult is the result of a transfer.
type SendResult struct {
	Outcomes    []Outcome // one for each webhook; nil after an error
	Incarnation uint64    // the incarnation that the transfer was last addressed to
}

// Send sends a transfer to a member and returns its reply. If the member's custody directory has another incarnation
// than the client knew, nothing was accepted; with retry the transfer is sent once more, addressed to the new
// incarnation. An error that wraps transport.ErrNotSent means that no webhook was accepted. After any other error,
// webhooks may have been accepted.
func (c *Client) Send(to cluster.MemberID, path string, t Transfer, within api.Micros, retry bool) (SendResult, error) {
	for {
		t.Incarnation = c.Incarnation(to)
		result := SendResult{Incarnation: t.Incarnation}
		reply, err := c.exchange(to, path, t, within)
		switch {
		case err != nil:
			return result, err
		case reply.Incarnation != t.Incarnation:
			c.setIncarnation(to, reply.Incarnation)
			if retry {
				retry = false
				continue
			}
			return result, fmt.Errorf("%w: the member has a new custody directory", transport.ErrNotSent)
		case len(reply.Outcomes) != len(t.Webhooks):
			return result, fmt.Errorf("%w: %d outcomes", transport.ErrOutcomeUnknown, len(reply.Outcomes))
		}
		result.Outcomes = reply.Outcomes
		return result, nil
	}
}

func (c *Client) exchange(to cluster.MemberID, path string, t Transfer, within api.Micros) (reply TransferReply,
	err error) {
	response, err := c.transport.Call(to, path, transport.Encode(t), within.Duration())
	if err != nil {
		return reply, err
	}
	if response.Status != fasthttp.StatusOK {
		return reply, fmt.Errorf("%w: status %d", transport.ErrOutcomeUnknown, response.Status)
	}
	err = response.Decode(&reply)
	return reply, err
}

// QueryCustody asks a member for the custody of webhooks and returns its replies, normally one for each query. The
// caller checks their number.
func (c *Client) QueryCustody(at cluster.MemberID, queries []CustodyQuery, within api.Micros) (
	replies []shardmap.CustodyReply, err error) {
	response, err := c.transport.Call(at, QueryPath, transport.Encode(queries), within.Duration())
	if err != nil {
		return nil, err
	}
	err = response.Decode(&replies)
	return replies, err
}

// Incarnation returns the incarnation of a member's custody directory according to its last reply, or 0 if it is not
// known.
func (c *Client) Incarnation(of cluster.MemberID) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.incarnations[of]
}

func (c *Client) setIncarnation(of cluster.MemberID, incarnation uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.incarnations[of] = incarnation
}
