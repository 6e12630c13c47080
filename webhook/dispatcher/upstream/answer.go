package upstream

import (
	"bytes"
	"math"
	"regexp"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"rowanlink/internal/socket"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// answer reads what comes back. Where something came, the call has reached the endpoint: what can't be read
// then may have run, however it begins, and frees its slot soon, whatever it claims still to come.
func (s *Client) answer(l *link, k *call, until time.Time) fate {
	head, err := l.head(until, api.Micros(s.restWithin.Load()))
	if len(head) == 0 {
		if !time.Now().Before(until) { // by the clock: not each error tells a deadline from a broken connection
			return fate{what: api.TimedOut}
		}
		return fate{what: api.ConnectionReset}
	}
	spoilt := fate{what: api.ErrorResponse}
	bundle := len(k.webhooks) > 1
	if !bundle && deliveredLine.Match(head) { // whatever becomes of the rest: guards against a second copy
		spoilt.what = api.Delivered
	}
	if err != nil || !framed(head) {
		return spoilt
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := resp.ReadLimitBody(l.in, mostAnswer); err != nil {
		return spoilt
	}
	f, ok := read(resp, k.webhooks)
	if !ok {
		return spoilt
	}
	quiet, ended := socket.Inspect(l.Conn)
	more := l.in.Buffered() > 0 || !quiet && !ended
	if f.keep = !resp.ConnectionClose() && quiet && !more; more && f.each == nil && f.what != api.Delivered {
		f.what, f.over = api.ErrorResponse, false // its length may be wrong: who knows what it was
	}
	return f
}

const mostAnswer = 256 << 10

var deliveredLine = regexp.MustCompile(`^HTTP/1\.[01] 200( [^\r\n]*)?\r\n`)

// framed tells whether a head says no more than once how long its body is.
func framed(head []byte) bool {
	n := 0
	for line := range bytes.Lines(head) {
		key, _, _ := bytes.Cut(line, []byte(":"))
		if key = bytes.TrimSpace(key); bytes.EqualFold(key, []byte("Content-Length")) ||
			bytes.EqualFold(key, []byte("Transfer-Encoding")) {
			n++
		}
	}
	return n <= 1
}

// read puts an answer into our words; ok: it can be read. What is not in the protocol's table may have run.
func read(resp *fasthttp.Response, webhooks []*inflight.Webhook) (f fate, ok bool) {
	f = fate{what: api.ErrorResponse, wait: seconds(string(resp.Header.Peek("Retry-After")))}
	bundle := len(webhooks) > 1
	switch resp.StatusCode() {
	case 200:
		if f.what = api.Delivered; bundle {
			f.each, ok = ends(resp.Body(), webhooks)
			return f, ok
		}
	case 429:
		f.what = api.Rejected
	case 503:
		f.what = api.Rejected
		if len(resp.Header.Peek("X-Egress-Full")) > 0 {
			f.what = api.NotSent
		} else {
			f.tooMany = resp.ConnectionClose() && f.wait == 0
		}
	case 504:
		f.what = api.NotSent
	case 410:
		f.what, f.over = api.NotSent, true
	case 400, 413:
		if bundle { // it could not be read, or was too large: none has run
			f.what = api.NotSent
		}
	}
	return f, true
}

// share is how one webhook of a bundle fared.
type share struct {
	what api.Outcome
	over bool
}

var endWords = map[string]share{"delivered": {api.Delivered, false}, "failed": {api.ErrorResponse, false},
	"refused": {api.Rejected, false}, "over": {api.NotSent, true}, "spent": {api.NotSent, false}}

// seconds reads a wait, whole or decimal, and rounds it up.
func seconds(text string) api.Micros {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || !(v > 0) {
		return 0
	}
	return api.Micros(math.Ceil(min(v, 1e6) * float64(api.Second)))
}
