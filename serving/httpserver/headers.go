package httpserver

import (
	"net/http"
	"strings"
)

// Names of the headers exchanged with clients.
const (
	headerTimeLeft   = "X-Time-Left"
	headerModel      = "X-Model"
	headerTokens     = "X-Token-Count"
	headerPrompt     = "X-Prompt-Prefix"
	headerLastEvent  = "Last-Event-Id"
	headerRetryAfter = "Retry-After"
)

// connectionHeaders apply to one connection only and are not forwarded.
var connectionHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade",
}

// dropConnectionHeaders removes the headers that apply to one connection only, including those that the Connection
// header lists.
func dropConnectionHeaders(header http.Header) {
	for _, line := range header["Connection"] {
		for _, name := range strings.Split(line, ",") {
			if name = http.CanonicalHeaderKey(strings.TrimSpace(name)); !strings.HasPrefix(name, "X-") {
				header.Del(name)
			}
		}
	}
	for _, name := range connectionHeaders {
		delete(header, name)
	}
}

// copyHead copies an endpoint's end-to-end headers to the client's response, and keeps the HTTP server from adding its
// own.
func copyHead(to, from http.Header) {
	dropConnectionHeaders(from)
	for name, values := range from {
		to[name] = values
	}
	for _, name := range []string{"Content-Type", "Date"} {
		if _, present := from[name]; !present {
			to[name] = nil
		}
	}
}
