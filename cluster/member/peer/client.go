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
	incarnations map[cluster.MemberID]uint64 // of the members' folders, by their last replies; 0: not known
}

// NewClient returns a client over the member's connections.
func NewClient(t *transport.Client) *Client {
	return &Client{transport: t, incarnations: map[cluster.MemberID]uint64{}}
}

// SendResult is the result of a transfer.
type SendResult struct {
	Outcomes    []Outcome // one for each webhook; nil where there is an error
	Incarnation uint64    // of the folder that the transfer was last sent to
}

// Send sends a transfer to a member and returns its reply. If the member's folder has another incarnation than was
// known, nothing was accepted; with retry the transfer is sent once more, to that incarnation. An error that wraps
// transport.ErrNotSent means that nothing was accepted; after any other error webhooks may have been.
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
			return result, fmt.Errorf("%w: the member has a new folder", transport.ErrNotSent)
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

// QueryCustody queries a member for the custody of webhooks. Without an error there is one reply for each query.
func (c *Client) QueryCustody(at cluster.MemberID, queries []CustodyQuery, within api.Micros) (
	replies []shardmap.CustodyReply, err error) {
	response, err := c.transport.Call(at, QueryPath, transport.Encode(queries), within.Duration())
	if err != nil {
		return nil, err
	}
	err = response.Decode(&replies)
	return replies, err
}

// Incarnation returns the incarnation of a member's folder by its last reply; 0: not known.
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
