package server

import (
	"bytes"
	"hash/fnv"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// webhook takes the few fields out that are decided on; body, id and token stay as they came.
func (s *Server) webhook(ctx *fasthttp.RequestCtx, g *guest) (w *inflight.Webhook, why string) {
	now := inflight.Now() // its time counts from before
	h := &ctx.Request.Header
	length, coding := times(h, "Content-Length"), times(h, "Transfer-Encoding")
	switch {
	case length+coding > 1 || coding == 1 && h.ContentLength() != -1:
		return nil, "more than one thing tells where the body ends"
	case coding == 0 && !g.fits(len(ctx.PostBody())):
		return nil, "more has come than the webhook's length"
	case max(times(h, "Request-Id"), times(h, "Request-Class"), times(h, "Request-Timeout-Ms"),
		times(h, "X-Route-To"), times(h, "Idempotency-Key")) > 1:
		return nil, "a header is doubled"
	}
	id, token := string(h.Peek("Request-Id")), string(h.Peek("Idempotency-Key"))
	if !plain(id) || s.x.IsReserved(id) {
		return nil, "Request-Id is missing or not plain text"
	}
	class, by := string(h.Peek("Request-Class")), s.terms.Load()
	evt := slices.Index(by.EventTypes, class)
	if class == "" || evt < 0 || evt >= math.MaxUint8 {
		return nil, "Request-Class names no event type"
	}
	if token != "" && !plain(token) || token == "" && by.types[evt].Semantics == api.Deduplicated {
		return nil, "Idempotency-Key is missing or not plain text"
	}
	ms, err := strconv.ParseInt(string(h.Peek("Request-Timeout-Ms")), 10, 32)
	ttl, longest := api.Micros(ms)*1000, by.types[evt].TTL
	if err != nil || ms <= 0 || ttl > 2*longest {
		return nil, "Request-Timeout-Ms is no usable number of milliseconds"
	}
	list, dest, ok := "", api.DestinationID(0), false
	if dest, ok = destination(string(h.Peek("X-Route-To"))); !ok {
		list, ok = s.x.ListInRoute(string(h.Peek("X-Route-To")))
	}
	if !ok {
		return nil, "X-Route-To names no dest"
	}
	w = &inflight.Webhook{RequestID: inflight.RequestID(id), Token: inflight.Token(token),
		Body: bytes.Clone(ctx.PostBody()), Destination: dest,
		EventType: api.EventTypeID(evt), Tenant: math.MaxUint32, Deadline: now + min(ttl, longest), ReceivedAt: now}
	w.List = list
	if i := slices.Index(by.Tenants, string(h.Peek("Tenant"))); i >= 0 {
		w.Tenant = api.TenantID(i)
	}
	if key := h.Peek("Affinity-Key"); len(key) > 0 {
		sum := fnv.New64a()
		sum.Write(key)
		w.OrderingKey = api.OrderingKey(max(sum.Sum64(), 1))
	}
	return w, ""
}

// times counts how often a header stands in a head as it came: guards against one that is read two ways.
func times(h *fasthttp.RequestHeader, name string) (n int) {
	for line := range bytes.Lines(h.RawHeaders()) {
		key, _, _ := bytes.Cut(line, []byte(":"))
		if strings.EqualFold(string(bytes.TrimSpace(key)), name) {
			n++
		}
	}
	return n
}

// plain tells whether a text can stand in a header, a bundle's line and a notice as it is.
func plain(text string) bool {
	odd := func(r rune) bool { return r <= ' ' || r >= 0x7f || r == '"' || r == '\\' }
	return text != "" && len(text) <= mostID && !strings.ContainsFunc(text, odd)
}

// destination reads `dest=7` among whatever else is said of the route.
func destination(text string) (api.DestinationID, bool) {
	for _, part := range strings.FieldsFunc(text, func(r rune) bool { return strings.ContainsRune(";,& ", r) }) {
		if number, ok := strings.CutPrefix(part, "dest="); ok {
			n, err := strconv.ParseUint(number, 10, 32)
			return api.DestinationID(n), err == nil
		}
	}
	return 0, false
}
