package platform

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"rowanlink/test/checker/deliverycheck"
	"rowanlink/webhook/api"
)

const (
	singlePath = "/events"
	bundlePath = "/events/bundle"

	noToken = "-" // in a bundle
)

// callItem is one webhook of a call.
type callItem struct{ id, token string }

// parseCall reads the webhooks of a call of either form.
func parseCall(r *http.Request) (items []callItem, err error) {
	if r.URL.Path == singlePath {
		_, err = io.Copy(io.Discard, r.Body)
		return []callItem{{r.Header.Get("Request-Id"), r.Header.Get("Idempotency-Key")}}, err
	}
	for reader := bufio.NewReader(r.Body); ; {
		line, err := reader.ReadString('\n')
		if errors.Is(err, io.EOF) && line == "" && len(items) > 0 {
			return items, nil
		}
		fields := strings.Fields(line)
		if err != nil || len(fields) != 3 {
			return nil, fmt.Errorf("bundle: %q", line)
		}
		length, err := strconv.Atoi(fields[2])
		if err != nil || length < 0 {
			return nil, fmt.Errorf("bundle: %q", line)
		}
		if _, err := io.CopyN(io.Discard, reader, int64(length)+int64(len("\r\n"))); err != nil {
			return nil, err
		}
		items = append(items, callItem{id: fields[0], token: fields[1]})
	}
}

// serveCall serves a call by a member, by the destination's behaviour.
func (e *Endpoint) serveCall(v *MemberView, rw http.ResponseWriter, r *http.Request) {
	at := v.platform.Now()
	if r.Method != http.MethodPost || r.URL.Path != singlePath && r.URL.Path != bundlePath {
		http.NotFound(rw, r)
		return
	}
	items, err := parseCall(r)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	ids := make([]string, len(items))
	for i, item := range items {
		ids[i] = submissionID(item.id)
	}
	checker := v.platform.Checker
	call := checker.RecordCall(deliverycheck.Call{
		At:          at,
		Member:      v.Name,
		Endpoint:    e.Name,
		Destination: e.destination.ID,
		IDs:         ids,
	})
	b := e.destination.nextBehaviour(at)
	if !e.delayCall(r, call, items, b) {
		return
	}
	e.takeEffect(call, items, b)
	switch {
	case b.CloseConnection:
		checker.RecordCallEnd(v.platform.Now(), call, 0)
		if conn, _, err := rw.(http.Hijacker).Hijack(); err == nil {
			_ = conn.Close()
		}
	case !b.succeeds():
		if b.RetryAfter > 0 {
			rw.Header().Set("Retry-After", strconv.FormatFloat(b.RetryAfter.Seconds(), 'f', 3, 64))
		}
		checker.RecordCallEnd(v.platform.Now(), call, api.Micros(b.RetryAfter.Microseconds()))
		rw.WriteHeader(b.Status)
	default:
		checker.RecordCallEnd(v.platform.Now(), call, 0, ids...)
		if r.URL.Path == bundlePath {
			writeBundleResponse(rw, items)
		}
	}
}

func writeBundleResponse(rw http.ResponseWriter, items []callItem) {
	for _, item := range items {
		_, _ = fmt.Fprintf(rw, "%s delivered\r\n", item.id) // a client that is gone gets nothing
	}
}

// delayCall waits as long as a behaviour has it, and returns false if the caller gives up meanwhile: the call then takes
// effect all the same.
func (e *Endpoint) delayCall(r *http.Request, call *deliverycheck.Call, items []callItem, b Behaviour) bool {
	if b.Delay <= 0 && !b.NeverAnswers {
		return true
	}
	var delayed <-chan time.Time // nil: never
	if !b.NeverAnswers {
		timer := time.NewTimer(b.Delay)
		defer timer.Stop()
		delayed = timer.C
	}
	select {
	case <-delayed:
		return true
	case <-r.Context().Done():
	}
	p := e.destination.platform
	p.Checker.RecordCallEnd(p.Now(), call, 0)
	if !b.NeverAnswers {
		<-delayed
		e.takeEffect(call, items, b)
	}
	return false
}

// takeEffect has a call take effect if the behaviour lets it. A webhook whose token is remembered takes effect once.
func (e *Endpoint) takeEffect(call *deliverycheck.Call, items []callItem, b Behaviour) {
	if !b.hasEffect() {
		return
	}
	d := e.destination
	checker := d.platform.Checker
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, item := range items {
		now, id := d.platform.Now(), submissionID(item.id)
		eventType := checker.EventTypeOf(id)
		if eventType.Semantics == api.Deduplicated && item.token != "" && item.token != noToken {
			first, isKnown := d.tokens[item.token]
			if isKnown && now <= first+eventType.DedupWindow {
				continue
			}
			d.tokens[item.token] = now
		}
		checker.RecordEffect(now, call, id)
	}
}
