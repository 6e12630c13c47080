package upstream

import (
	"bytes"
	"math"
	"net/http"
	"regexp"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"rowanlink/internal/socket"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

const (
	maxAnswer     = 256 << 10 // bytes
	maxRetryAfter = 1e6       // seconds
)

var deliveredLine = regexp.MustCompile(`^HTTP/1\.[01] 200( [^\r\n]*)?\r\n`)

// itemResult is the result of one webhook of a bundle.
type itemResult struct {
	outcome api.Outcome
	final   bool
}

// bundleResults maps the names of results in the answer to a bundle.
var bundleResults = map[string]itemResult{
	"delivered": {api.Delivered, false},
	"failed":    {api.ErrorResponse, false},
	"refused":   {api.Rejected, false},
	"over":      {api.NotSent, true},
	"spent":     {api.NotSent, false},
}

// readAnswer reads the answer to a call. Once any data has arrived, the call has reached the endpoint. If the answer is
// malformed, the call may have run, even if the status says otherwise, and its slot is freed early, whatever length the
// answer states.
func (c *Client) readAnswer(connection *connection, k *call, until time.Time) callResult {
	head, err := connection.readHead(until, api.Micros(c.restTimeout.Load()))
	if len(head) == 0 {
		if !time.Now().Before(until) { // the clock decides: not every error tells a deadline from a broken connection
			return callResult{outcome: api.TimedOut}
		}
		return callResult{outcome: api.ConnectionReset}
	}
	malformed := callResult{outcome: api.ErrorResponse}
	isBundle := len(k.webhooks) > 1
	if !isBundle && deliveredLine.Match(head) { // even if the rest is malformed: a retry would be a duplicate
		malformed.outcome = api.Delivered
	}
	if err != nil || !hasOneLength(head) {
		return malformed
	}
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	if err := response.ReadLimitBody(connection.reader, maxAnswer); err != nil {
		return malformed
	}
	result, ok := parseAnswer(response, k.webhooks)
	if !ok {
		return malformed
	}
	quiet, ended := socket.Inspect(connection.Conn)
	surplus := connection.reader.Buffered() > 0 || !quiet && !ended
	result.reusable = !response.ConnectionClose() && quiet && !surplus
	if surplus && result.perWebhook == nil && result.outcome != api.Delivered {
		result.outcome = api.ErrorResponse // the stated length may be wrong, so the outcome is unknown
		result.final = false
	}
	return result
}

// hasOneLength reports whether a head states the length of its body no more than once.
func hasOneLength(head []byte) bool {
	n := 0
	for line := range bytes.Lines(head) {
		key, _, _ := bytes.Cut(line, []byte(":"))
		key = bytes.TrimSpace(key)
		if bytes.EqualFold(key, []byte("Content-Length")) || bytes.EqualFold(key, []byte("Transfer-Encoding")) {
			n++
		}
	}
	return n <= 1
}

// parseAnswer maps an answer to outcomes; ok: it is well-formed. With an answer that the protocol doesn't define the
// webhooks may have run.
func parseAnswer(response *fasthttp.Response, webhooks []*inflight.Webhook) (result callResult, ok bool) {
	isBundle := len(webhooks) > 1
	result = callResult{
		outcome:    api.ErrorResponse,
		retryAfter: parseRetryAfter(string(response.Header.Peek("Retry-After"))),
	}
	switch response.StatusCode() {
	case http.StatusOK:
		result.outcome = api.Delivered
		if isBundle {
			result.perWebhook, ok = parseBundle(response.Body(), webhooks)
			return result, ok
		}
	case http.StatusTooManyRequests:
		result.outcome = api.Rejected
	case http.StatusServiceUnavailable:
		result.outcome = api.Rejected
		if len(response.Header.Peek("X-Egress-Full")) > 0 {
			result.outcome = api.NotSent
		} else {
			result.connectionRefused = response.ConnectionClose() && result.retryAfter == 0
		}
	case http.StatusGatewayTimeout:
		result.outcome = api.NotSent
	case http.StatusGone:
		result.outcome = api.NotSent
		result.final = true
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		if isBundle { // the bundle could not be read, or was too large: none has run
			result.outcome = api.NotSent
		}
	}
	return result, true
}

// parseBundle reads a bundle's answer; ok: it names each of its webhooks once, with a known result, and nothing else.
func parseBundle(body []byte, webhooks []*inflight.Webhook) (results map[inflight.RequestID]itemResult, ok bool) {
	results = map[inflight.RequestID]itemResult{}
	for line := range bytes.Lines(body) {
		fields := bytes.Fields(line)
		if len(fields) == 0 && len(results) == len(webhooks) {
			continue
		}
		if len(fields) != 2 || line[len(line)-1] != '\n' {
			return nil, false
		}
		id := inflight.RequestID(fields[0])
		result, known := bundleResults[string(fields[1])]
		_, repeated := results[id]
		if !known || repeated {
			return nil, false
		}
		results[id] = result
	}
	for _, w := range webhooks {
		if _, named := results[w.RequestID]; !named {
			return nil, false
		}
	}
	return results, len(results) == len(webhooks)
}

// parseRetryAfter reads a delay in integer or decimal seconds and rounds it up. A malformed one is ignored.
func parseRetryAfter(text string) api.Micros {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || !(v > 0) {
		return 0
	}
	return api.Micros(math.Ceil(min(v, maxRetryAfter) * float64(api.Second)))
}
