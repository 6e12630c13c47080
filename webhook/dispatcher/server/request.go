package server

import (
	"bytes"
	"errors"
	"hash/fnv"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"rowanlink/webhook/api"
	"rowanlink/webhook/config"
	"rowanlink/webhook/dispatcher/inflight"
)

// Reasons for which a webhook is invalid. The texts are sent to the client.
var (
	errAmbiguousLength    = errors.New("more than one thing tells where the body ends")
	errSurplus            = errors.New("more has come than the webhook's length")
	errRepeatedHeader     = errors.New("a header is doubled")
	errRequestID          = errors.New("Request-Id is missing or not plain text")
	errEventType          = errors.New("Request-Class names no event type")
	errIdempotencyKey     = errors.New("Idempotency-Key is missing or not plain text")
	errTimeout            = errors.New("Request-Timeout-Ms is no usable number of milliseconds")
	errRoute              = errors.New("X-Route-To names no dest")
	errUnknownDestination = errors.New("dest is on no list")
	errDuplicate          = errors.New("this Request-Id is held already")
)

// Headers of the protocol.
const (
	headerRequestID      = "Request-Id"
	headerEventType      = "Request-Class"
	headerTimeout        = "Request-Timeout-Ms"
	headerRoute          = "X-Route-To"
	headerIdempotencyKey = "Idempotency-Key"
	headerTenant         = "Tenant"
	headerOrderingKey    = "Affinity-Key"
)

const (
	microsPerMillisecond = 1000
	maxTimeoutTTLs       = 2 // a client's time-out is at most this many TTLs of its event type
	unknownTenant        = math.MaxUint32
	destinationPrefix    = "dest="
)

// parseSettings are the settings that webhooks are parsed with.
type parseSettings struct {
	config.Catalog
	eventTypes []api.EventType
}

// parseWebhook reads the few fields that decisions need; body, id and key stay as they were received.
func (s *Server) parseWebhook(ctx *fasthttp.RequestCtx, connection *clientConn) (*inflight.Webhook, error) {
	now := inflight.Now() // before parsing, since the webhook's deadline counts from its receipt
	header := &ctx.Request.Header
	if err := checkFraming(ctx, connection); err != nil {
		return nil, err
	}
	id := string(header.Peek(headerRequestID))
	if !isPlain(id) || s.inbox.IsReserved(id) {
		return nil, errRequestID
	}
	settings := s.parsing.Load()
	eventType, err := settings.parseEventType(string(header.Peek(headerEventType)))
	if err != nil {
		return nil, err
	}
	key := string(header.Peek(headerIdempotencyKey))
	needsKey := settings.eventTypes[eventType].Semantics == api.Deduplicated
	if key != "" && !isPlain(key) || key == "" && needsKey {
		return nil, errIdempotencyKey
	}
	timeout, err := parseTimeout(string(header.Peek(headerTimeout)), settings.eventTypes[eventType].TTL)
	if err != nil {
		return nil, err
	}
	destination, broadcastList, err := s.parseRoute(string(header.Peek(headerRoute)))
	if err != nil {
		return nil, err
	}
	w := &inflight.Webhook{
		RequestID:   inflight.RequestID(id),
		Token:       inflight.Token(key),
		Body:        bytes.Clone(ctx.PostBody()),
		Destination: destination,
		EventType:   eventType,
		Tenant:      settings.tenant(string(header.Peek(headerTenant))),
		OrderingKey: parseOrderingKey(header.Peek(headerOrderingKey)),
		Deadline:    now + timeout,
		ReceivedAt:  now,
	}
	w.List = broadcastList
	return w, nil
}

// checkFraming refuses requests that two parsers could read differently.
func checkFraming(ctx *fasthttp.RequestCtx, connection *clientConn) error {
	header := &ctx.Request.Header
	lengths := countHeader(header, "Content-Length")
	encodings := countHeader(header, "Transfer-Encoding")
	if lengths+encodings > 1 || encodings == 1 && header.ContentLength() != -1 {
		return errAmbiguousLength
	}
	if encodings == 0 && !connection.hasExactly(len(ctx.PostBody())) {
		return errSurplus
	}
	for _, name := range []string{headerRequestID, headerEventType, headerTimeout, headerRoute, headerIdempotencyKey} {
		if countHeader(header, name) > 1 {
			return errRepeatedHeader
		}
	}
	return nil
}

// countHeader counts how often a header occurs in the unparsed head.
func countHeader(header *fasthttp.RequestHeader, name string) (n int) {
	for line := range bytes.Lines(header.RawHeaders()) {
		key, _, _ := bytes.Cut(line, []byte(":"))
		if strings.EqualFold(string(bytes.TrimSpace(key)), name) {
			n++
		}
	}
	return n
}

// isPlain reports whether a text can be written to a header, a bundle's line and a callback without escaping.
func isPlain(text string) bool {
	isSpecial := func(r rune) bool { return r <= ' ' || r >= 0x7f || r == '"' || r == '\\' }
	return text != "" && len(text) <= maxIDLength && !strings.ContainsFunc(text, isSpecial)
}

func (p *parseSettings) parseEventType(name string) (api.EventTypeID, error) {
	i := slices.Index(p.EventTypes, name)
	if name == "" || i < 0 || i >= math.MaxUint8 {
		return 0, errEventType
	}
	return api.EventTypeID(i), nil
}

func (p *parseSettings) tenant(name string) api.TenantID {
	if i := slices.Index(p.Tenants, name); i >= 0 {
		return api.TenantID(i)
	}
	return unknownTenant
}

// parseTimeout reads how long the client waits, in milliseconds, bounded by the event type's TTL.
func parseTimeout(text string, ttl api.Micros) (api.Micros, error) {
	millis, err := strconv.ParseInt(text, 10, 32)
	timeout := api.Micros(millis) * microsPerMillisecond
	if err != nil || millis <= 0 || timeout > maxTimeoutTTLs*ttl {
		return 0, errTimeout
	}
	return min(timeout, ttl), nil
}

// parseRoute reads a destination or, in a cluster, the name of a broadcast list.
func (s *Server) parseRoute(text string) (destination api.DestinationID, broadcastList string, err error) {
	destination, ok := parseDestination(text)
	if ok {
		return destination, "", nil
	}
	broadcastList, ok = s.inbox.ListInRoute(text)
	if !ok {
		return 0, "", errRoute
	}
	return 0, broadcastList, nil
}

// parseDestination returns the destination that is a part of a route, as in `dest=7`.
func parseDestination(text string) (api.DestinationID, bool) {
	isSeparator := func(r rune) bool { return strings.ContainsRune(";,& ", r) }
	for _, part := range strings.FieldsFunc(text, isSeparator) {
		if number, ok := strings.CutPrefix(part, destinationPrefix); ok {
			n, err := strconv.ParseUint(number, 10, 32)
			return api.DestinationID(n), err == nil
		}
	}
	return 0, false
}

// parseOrderingKey returns the hash of an ordering key, or 0 if there is no key.
func parseOrderingKey(key []byte) api.OrderingKey {
	if len(key) == 0 {
		return 0
	}
	sum := fnv.New64a()
	_, _ = sum.Write(key) // never fails
	return api.OrderingKey(max(sum.Sum64(), 1))
}
