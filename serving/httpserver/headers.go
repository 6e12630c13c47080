package httpserver

import (
	"net/http"
	"strings"
)

// Header names that clients and the system speak.
const (
	headerTimeLeft   = "X-Time-Left"
	headerModel      = "X-Model"
	headerTokens     = "X-Token-Count"
	headerPrompt     = "X-Prompt-Prefix"
	headerLastEvent  = "Last-Event-Id"
	headerRetryAfter = "Retry-After"
)

// connectionHeaders concern one connection only and are not passed on.
var connectionHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade",
}

// dropConnectionHeaders removes the headers that concern one connection, also those that the message itself names.
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

// copyHead puts an endpoint's end-to-end headers on the way to the client, and nothing that this server would add.
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
