package platform

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"rowanlink/internal/socket"
	"rowanlink/test/checker/deliverycheck"
	"rowanlink/webhook/api"
)

// responseTimeout is the protocol's: then the client closes its connection.
const responseTimeout = 400 * time.Millisecond

// client is a client of the members, with an open connection to each. It is used by one goroutine at a time.
type client struct {
	platform    *Platform
	connections map[string]*clientConn // by address
}

func newClient(p *Platform) *client {
	return &client{platform: p, connections: map[string]*clientConn{}}
}

func (c *client) close() {
	for _, conn := range c.connections {
		_ = conn.Close()
	}
}

// submitOnce submits a webhook at a member. The status is 0 if there is no response.
func (c *client) submitOnce(ctx context.Context, member string, w Webhook) (id string, status int,
	retryAfter time.Duration) {
	p := c.platform
	id, addr, destinations := p.newSubmission(member, w)
	if w.token == "" {
		w.token = defaultToken(id)
	}
	if w.TTL == 0 {
		w.TTL = p.Checker.Requirements.EventTypes[w.Type].TTL.Duration()
	}
	p.Checker.RecordSubmission(deliverycheck.Submission{
		At:           p.Now(),
		ID:           id,
		RetryOf:      w.retryOf,
		Member:       member,
		Destinations: destinations,
		Type:         w.Type,
		Key:          w.Key,
		TTL:          api.Micros(w.TTL.Microseconds()),
	})
	response, err := c.roundTrip(ctx, addr, w.request(id, addr))
	if err == nil {
		status = response.status
		retryAfter = response.retryAfter
	}
	p.Checker.RecordResponse(p.Now(), id, status)
	return id, status, retryAfter
}

// newSubmission returns the ID of a new submission, the member's address and the destinations.
func (p *Platform) newSubmission(member string, w Webhook) (id, addr string, destinations []api.DestinationID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	destinations = []api.DestinationID{w.Destination}
	if w.List != "" {
		destinations = p.SubscriberLists[w.List]
	}
	return "w" + strconv.Itoa(p.lastID), p.clientAddrs[member], destinations
}

// request returns the HTTP request that submits the webhook.
func (w Webhook) request(id, addr string) []byte {
	route := fmt.Sprintf("dest=%d", w.Destination)
	if w.List != "" {
		route = "list=" + w.List
	}
	text := &bytes.Buffer{}
	fmt.Fprintf(text, "POST /api HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Class: %s\r\n"+
		"Request-Timeout-Ms: %d\r\nX-Route-To: %s\r\nIdempotency-Key: %s\r\nContent-Length: %d\r\n", addr, id, w.Type,
		w.TTL.Milliseconds(), route, w.token, len(w.Body))
	if w.Key != "" {
		fmt.Fprintf(text, "Affinity-Key: %s\r\n", w.Key)
	}
	if w.retryOf != "" {
		text.WriteString("Client-Retry: 1\r\n")
	}
	text.WriteString("\r\n" + w.Body)
	return text.Bytes()
}

// clientConn is a connection to a member.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

// clientResponse is what a client needs of a response.
type clientResponse struct {
	status     int
	retryAfter time.Duration
	closes     bool // the connection
}

// roundTrip sends a request over the open connection, or over a new one if that has been closed between requests.
func (c *client) roundTrip(ctx context.Context, addr string, request []byte) (clientResponse, error) {
	conn, err := c.connection(ctx, addr)
	if err != nil {
		return clientResponse{}, err
	}
	response, err := conn.roundTrip(request)
	if err != nil || response.closes {
		_ = conn.Close()
		return response, err
	}
	c.connections[addr] = conn
	return response, nil
}

// connection takes the open connection to an address, or opens one.
func (c *client) connection(ctx context.Context, addr string) (*clientConn, error) {
	conn := c.connections[addr]
	delete(c.connections, addr)
	if conn != nil {
		if isQuiet, _ := socket.Inspect(conn.Conn); isQuiet {
			return conn, nil
		}
		_ = conn.Close() // the member has closed it meanwhile
	}
	dialer := &net.Dialer{Timeout: responseTimeout}
	opened, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: opened, reader: bufio.NewReader(opened)}, nil
}

func (c *clientConn) roundTrip(request []byte) (clientResponse, error) {
	if err := c.SetDeadline(time.Now().Add(responseTimeout)); err != nil {
		return clientResponse{}, err
	}
	if _, err := c.Write(request); err != nil {
		return clientResponse{}, err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return clientResponse{}, err
	}
	defer func() { _ = response.Body.Close() }()
	read := clientResponse{status: response.StatusCode, closes: response.Close}
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		read.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	_, err = io.Copy(io.Discard, response.Body)
	return read, err
}
