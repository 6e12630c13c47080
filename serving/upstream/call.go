package upstream

import (
	"bytes"
	"net/http"
	"strconv"
	"time"
)

// Call is one request to one endpoint.
type Call struct {
	EndpointID string
	Address    string // host:port
	Zone       string // of the endpoint, for the round trip measured to it

	Method        string
	RequestTarget string // path and query as the client sent them
	Host          string
	Header        http.Header // end-to-end headers; not modified
	Body          []byte      // complete; not modified, and in use until the response is closed
	// HasBody: the client sent a body, even if it is empty.
	HasBody bool

	// Resent: the request was sent to this endpoint before. A faulty endpoint may respond to the first attempt once
	// more, late; on the connection of that attempt, its response could be taken for the one to this call. A resent
	// request gets a new connection.
	Resent bool

	Deadline       time.Time // of the whole response; the time left is sent to the endpoint
	MaxConnections int       // of this process to the endpoint; zero: no limit
	Priority       string    // sent as a header; empty: none
	LastEventID    string    // the event after which a stream is resumed; empty: as in Header

	// ProgressTimeout is how long the attempt may be without progress before MayAbandon decides whether to end it;
	// zero: forever. MayAbandon is called at most once for each expiry, from another goroutine.
	ProgressTimeout time.Duration
	MayAbandon      func() bool
}

// reservedHeaders are written by this package itself, or not forwarded as the client sent them.
var reservedHeaders = map[string]bool{
	"Host": true, "Content-Length": true, headerTimeLeft: true, headerDeliverTo: true,
}

// The same with the headers that a call may replace.
var (
	reservedWithPriority = withHeader(reservedHeaders, headerPriority)
	reservedWithResume   = withHeader(reservedHeaders, headerLastEvent)
	reservedWithBoth     = withHeader(reservedWithPriority, headerLastEvent)
)

// withHeader returns a copy of the set with one more name.
func withHeader(set map[string]bool, name string) map[string]bool {
	larger := map[string]bool{name: true}
	for key := range set {
		larger[key] = true
	}
	return larger
}

// excludedHeaders returns the client's headers that are not forwarded.
func (c *Call) excludedHeaders() map[string]bool {
	switch {
	case c.Priority != "" && c.LastEventID != "":
		return reservedWithBoth
	case c.Priority != "":
		return reservedWithPriority
	case c.LastEventID != "":
		return reservedWithResume
	}
	return reservedHeaders
}

// writeHead writes the request line and the headers.
func (c *Call) writeHead(to *bytes.Buffer, left time.Duration) {
	to.WriteString(c.Method + " " + c.RequestTarget + " HTTP/1.1\r\n")
	writeField(to, "Host", c.Host)
	_ = c.Header.WriteSubset(to, c.excludedHeaders()) // writing to a buffer doesn't fail
	writeField(to, headerTimeLeft, strconv.FormatInt(max(left.Milliseconds(), 0), 10))
	writeField(to, headerDeliverTo, c.EndpointID)
	if c.Priority != "" {
		writeField(to, headerPriority, c.Priority)
	}
	if c.LastEventID != "" {
		writeField(to, headerLastEvent, c.LastEventID)
	}
	if c.HasBody || len(c.Body) > 0 {
		writeField(to, "Content-Length", strconv.Itoa(len(c.Body)))
	}
	to.WriteString("\r\n")
}

func writeField(to *bytes.Buffer, name, value string) { to.WriteString(name + ": " + value + "\r\n") }
