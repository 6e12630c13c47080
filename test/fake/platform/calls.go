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

// part is one webhook of a call.
type part struct{ id, token string }

// parts reads a call, in either form.
func parts(r *http.Request) (all []part, err error) {
	if r.URL.Path == "/events" {
		_, err = io.Copy(io.Discard, r.Body)
		return []part{{r.Header.Get("Request-Id"), r.Header.Get("Idempotency-Key")}}, err
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
		all = append(all, part{f[0], f[1]})
	}
}

// called takes one call by a member.
func (e *Endpoint) called(s *Seat, rw http.ResponseWriter, r *http.Request) {
	at := s.p.Now()
	if r.Method != http.MethodPost || r.URL.Path != "/events" && r.URL.Path != "/events/bundle" {
		http.NotFound(rw, r)
		return
	}
	all, err := parts(r)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	ids := make([]string, len(all))
	for i, one := range all {
		ids[i] = root(one.id)
	}
	log := s.p.Ledger
	c := log.Called(deliverycheck.Call{At: at, Member: s.Name, Endpoint: e.Name, Dest: e.dest.ID, IDs: ids})
	b := e.dest.takes(at)
	if b.Took > 0 || b.Hang {
		var took <-chan time.Time
		if !b.Hang {
			timer := time.NewTimer(b.Took)
			defer timer.Stop()
			took = timer.C
		}
		select {
		case <-took:
		case <-r.Context().Done(): // given up: what is begun runs on
			log.Returned(s.p.Now(), c, 0)
			if !b.Hang {
				<-took
				e.run(c, all, b)
			}
			return
		}
	}
	e.run(c, all, b)
	if b.Close {
		log.Returned(s.p.Now(), c, 0)
		if conn, _, err := rw.(http.Hijacker).Hijack(); err == nil {
			conn.Close()
		}
		return
	}
	if b.Code != 0 && b.Code != http.StatusOK {
		if b.RetryAfter > 0 {
			rw.Header().Set("Retry-After", strconv.FormatFloat(b.RetryAfter.Seconds(), 'f', 3, 64))
		}
		log.Returned(s.p.Now(), c, api.Micros(b.RetryAfter.Microseconds()))
		rw.WriteHeader(b.Code)
		return
	}
	log.Returned(s.p.Now(), c, 0, ids...)
	if r.URL.Path == "/events" {
		return
	}
	for _, one := range all {
		fmt.Fprintf(rw, "%s delivered\r\n", one.id)
	}
}

// run has a call take effect, if the behaviour lets it: a token that is remembered takes effect once.
func (e *Endpoint) run(c *deliverycheck.Call, all []part, b Behaviour) {
	if !b.Ran && (b.Hang || b.Close || b.Code != 0 && b.Code != http.StatusOK) {
		return
	}
	d, log := e.dest, e.dest.p.Ledger
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, one := range all {
		now, id := d.p.Now(), root(one.id)
		evt := log.Type(id)
		if evt.Semantics == api.Deduplicated && one.token != "" && one.token != "-" {
			if first, known := d.tokens[one.token]; known && now <= first+evt.DedupWindow {
				continue
			}
			d.tokens[one.token] = now
		}
		log.Ran(now, c, id)
	}
}
