package upstream

import (
	"bytes"
	"net/http"
	"strconv"
	"time"
)

// Call describes one attempt: a request to one endpoint, and how it is to be sent.
type Call struct {
	EndpointID string
	Address    string // host:port
	Zone       string // of the endpoint; round trips are measured by zone

	Method        string
	RequestTarget string // path and query as the client sent them
	Host          string
	Header        http.Header // end-to-end headers; not modified
	Body          []byte      // complete; not modified, and in use until the response is closed
	HasBody       bool        // a Content-Length is sent even if Body is empty

	// Resent reports whether the request was sent to this endpoint before. If so, it is sent on a new connection: a
	// faulty endpoint may respond to the first attempt a second time, late, and on the connection of the first attempt
	// that response could be taken for the response to this call.
	Resent bool

	Deadline       time.Time // for the complete response; the time left is sent to the endpoint
	MaxConnections int       // of this process to the endpoint; zero: no limit
	Priority       string    // sent as a header; empty: none
	LastEventID    string    // ID of the event after which a stream is resumed; empty: the one in Header, if any

	// ProgressTimeout is how long the attempt may make no progress before MayAbandon is called; zero: no limit.
	ProgressTimeout time.Duration
	// MayAbandon decides whether the attempt is abandoned. It is called on another goroutine, at most once for each
	// time that ProgressTimeout expires. If it is nil, there is no progress timeout.
	MayAbandon func() bool
}

// reservedHeaders lists the headers that this package writes itself, so that the client's values are not forwarded.
var reservedHeaders = map[string]bool{
	"Host": true, "Content-Length": true, headerTimeLeft: true, headerDeliverTo: true,
}

// The reserved headers of calls that set Priority, LastEventID, or both.
var (
	reservedWithPriority    = withHeader(reservedHeaders, headerPriority)
	reservedWithLastEventID = withHeader(reservedHeaders, headerLastEvent)
	reservedWithBoth        = withHeader(reservedWithPriority, headerLastEvent)
)

// withHeader returns a copy of the set with one more name.
func withHeader(set map[string]bool, name string) map[string]bool {
	larger := map[string]bool{name: true}
	for key := range set {
		larger[key] = true
	}
	return larger
}

// excludedHeaders returns the names of the client's headers that are not forwarded.
func (c *Call) excludedHeaders() map[string]bool {
	switch {
	case c.Priority != "" && c.LastEventID != "":
		return reservedWithBoth
	case c.Priority != "":
		return reservedWithPriority
	case c.LastEventID != "":
		return reservedWithLastEventID
	}
	return reservedHeaders
}

// writeHead writes the request line and the headers. The endpoint is told that the given time is left until the
// deadline.
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
