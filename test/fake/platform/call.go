package platform

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"rowanlink/test/checker/deliverycheck"
	"rowanlink/webhook/api"
)

// callItem is one webhook of a call.
type callItem struct{ id, token string }

// parseCall reads a call, in either form.
func parseCall(r *http.Request) (all []callItem, err error) {
	if r.URL.Path == "/events" {
		_, err = io.Copy(io.Discard, r.Body)
		return []callItem{{r.Header.Get("Request-Id"), r.Header.Get("Idempotency-Key")}}, err
	}
	for in := bufio.NewReader(r.Body); ; {
		line, err := in.ReadString('\n')
		if err == io.EOF && line == "" && len(all) > 0 {
			return all, nil
		}
		f := strings.Fields(line)
		if err != nil || len(f) != 3 {
			return nil, fmt.Errorf("bundle: %q", line)
		}
		n, err := strconv.Atoi(f[2])
		if err != nil || n < 0 {
			return nil, fmt.Errorf("bundle: %q", line)
		}
		if _, err := io.CopyN(io.Discard, in, int64(n)+2); err != nil {
			return nil, err
		}
		all = append(all, callItem{f[0], f[1]})
	}
}

// serveCall takes one call by a member.
func (e *Endpoint) serveCall(s *MemberView, rw http.ResponseWriter, r *http.Request) {
	at := s.platform.Now()
	if r.Method != http.MethodPost || r.URL.Path != "/events" && r.URL.Path != "/events/bundle" {
		http.NotFound(rw, r)
		return
	}
	all, err := parseCall(r)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	ids := make([]string, len(all))
	for i, one := range all {
		ids[i] = submissionID(one.id)
	}
	log := s.platform.Checker
	c := log.RecordCall(deliverycheck.Call{At: at, Member: s.Name, Endpoint: e.Name, Destination: e.destination.ID, IDs: ids})
	b := e.destination.nextBehaviour(at)
	if b.Delay > 0 || b.NeverAnswers {
		var took <-chan time.Time
		if !b.NeverAnswers {
			timer := time.NewTimer(b.Delay)
			defer timer.Stop()
			took = timer.C
		}
		select {
		case <-took:
		case <-r.Context().Done(): // given up: what is begun runs on
			log.RecordCallEnd(s.platform.Now(), c, 0)
			if !b.NeverAnswers {
				<-took
				e.takeEffect(c, all, b)
			}
			return
		}
	}
	e.takeEffect(c, all, b)
	if b.CloseConnection {
		log.RecordCallEnd(s.platform.Now(), c, 0)
		if conn, _, err := rw.(http.Hijacker).Hijack(); err == nil {
			conn.Close()
		}
		return
	}
	if b.Status != 0 && b.Status != http.StatusOK {
		if b.RetryAfter > 0 {
			rw.Header().Set("Retry-After", strconv.FormatFloat(b.RetryAfter.Seconds(), 'f', 3, 64))
		}
		log.RecordCallEnd(s.platform.Now(), c, api.Micros(b.RetryAfter.Microseconds()))
		rw.WriteHeader(b.Status)
		return
	}
	log.RecordCallEnd(s.platform.Now(), c, 0, ids...)
	if r.URL.Path == "/events" {
		return
	}
	for _, one := range all {
		fmt.Fprintf(rw, "%s delivered\r\n", one.id)
	}
}

// takeEffect has a call take effect, if the behaviour lets it: a token that is remembered takes effect once.
func (e *Endpoint) takeEffect(c *deliverycheck.Call, all []callItem, b Behaviour) {
	if !b.TakesEffect && (b.NeverAnswers || b.CloseConnection || b.Status != 0 && b.Status != http.StatusOK) {
		return
	}
	d, log := e.destination, e.destination.platform.Checker
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, one := range all {
		now, id := d.platform.Now(), submissionID(one.id)
		evt := log.EventTypeOf(id)
		if evt.Semantics == api.Deduplicated && one.token != "" && one.token != "-" {
			if first, known := d.tokens[one.token]; known && now <= first+evt.DedupWindow {
				continue
			}
			d.tokens[one.token] = now
		}
		log.RecordEffect(now, c, id)
	}
}
