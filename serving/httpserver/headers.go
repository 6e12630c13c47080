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

// connectionHeaders lists the headers that apply to one connection only and are not forwarded.
var connectionHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade",
}

// dropConnectionHeaders removes the headers that apply to one connection only. These include the headers that the
// Connection header lists, except for those whose names begin with "X-".
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

// copyEndToEndHeaders copies an endpoint's end-to-end headers to the client's response. A nil value keeps net/http from
// adding a Content-Type or Date header that the endpoint didn't send.
func copyEndToEndHeaders(to, from http.Header) {
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
