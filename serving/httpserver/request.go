package httpserver

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"rowanlink/serving/placement"
	"rowanlink/serving/routing"
)

// defaultTimeout is the timeout of a request if neither its route nor its client sets one.
const defaultTimeout = 30 * time.Second

// request is one request of a client, with the route and the deadline that follow from it.
type request struct {
	httpRequest *http.Request
	table       *routing.Table
	route       *routing.Route
	arrivedAt   time.Time
	deadline    time.Time // the earlier one of the client's and the route's
	body        []byte
	hasBody     bool // a Content-Length is sent to the endpoint even if the body is empty
	placement   placement.Request
	// maxOutputTokens is the most tokens of the complete response, as the client states it.
	maxOutputTokens int
}

// requestTarget returns the path and query exactly as the client sent them. Of an absolute URL, scheme and host are
// removed.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") || r.URL.Host == "" {
		return r.RequestURI
	}
	_, rest, _ := strings.Cut(r.RequestURI, "//")
	if pathStart := strings.IndexAny(rest, "/?"); pathStart >= 0 {
		rest = rest[pathStart:]
	} else {
		rest = ""
	}
	if !strings.HasPrefix(rest, "/") {
		rest = "/" + rest
	}
	return rest
}

// pathOfTarget returns a request target without its query.
func pathOfTarget(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

// deadline returns the deadline of a request: it follows from the timeout or from the time left that the client states
// in its header, whichever is shorter.
func deadline(arrivedAt time.Time, header http.Header, timeout time.Duration) time.Time {
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	millis, err := strconv.ParseFloat(strings.TrimSpace(header.Get(headerTimeLeft)), 64)
	if err == nil && !math.IsNaN(millis) && millis < float64(timeout.Milliseconds()) {
		timeout = time.Duration(max(millis, 0) * float64(time.Millisecond))
	}
	return arrivedAt.Add(timeout)
}

// headSize returns the approximate size of a request's line and headers in bytes.
func headSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}
