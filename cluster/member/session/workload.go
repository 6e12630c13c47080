package session

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// RunLeaseWorkload makes the session acquire resources and act on them while they are held. It is for tests only and is
// controlled by environment variables, which env returns:
//   - ROWAN_GUARD: the host:port of the lease checker (test/checker/leasecheck), to which the begin and the end of each
//     action are reported. Without it RunLeaseWorkload does nothing.
//   - ROWAN_GUARD_TASKS: the resources, separated by commas.
//   - ROWAN_GUARD_FENCE: with 1, the checker rejects outdated epochs.
func (s *Session) RunLeaseWorkload(env func(string) string) {
	checker := env("ROWAN_GUARD")
	if checker == "" {
		return
	}
	for name := range strings.SplitSeq(env("ROWAN_GUARD_TASKS"), ",") {
		if name == "" {
			continue
		}
		s.Acquire(cluster.Resource(name))
		s.done.Go(func() { s.workloadLoop(checker, cluster.Resource(name), env("ROWAN_GUARD_FENCE") == "1") })
	}
}

// workloadDelayDivisor sets the maximum duration of an action, and of the pause between two actions:
// LeaseTTL/workloadDelayDivisor.
const workloadDelayDivisor = 10

func (s *Session) workloadLoop(checker string, resource cluster.Resource, fenced bool) {
	for s.sleep(s.workloadDelay()) {
		s.DoWhileHeld(resource, func(epoch cluster.Epoch, stillHeld func() bool) {
			query := url.Values{
				"task":   {string(resource)},
				"epoch":  {strconv.FormatUint(uint64(epoch), 10)},
				"member": {string(s.Self)},
			}
			if fenced {
				query.Set("fence", "1")
			}
			if s.reportToChecker(checker, "begin", query, stillHeld) && s.sleep(s.workloadDelay()) {
				s.reportToChecker(checker, "end", query, stillHeld)
			}
		})
	}
}

func (s *Session) workloadDelay() api.Micros {
	return 1 + api.Micros(s.Leader.drawRandom()*float64(s.LeaseTTL/workloadDelayDivisor))
}

// reportToChecker sends a request to the lease checker and returns whether the checker accepted it. It writes the last
// byte only if stillHeld returns true right before.
func (s *Session) reportToChecker(checker, action string, query url.Values, stillHeld func() bool) bool {
	dialer := net.Dialer{Timeout: s.LeaseTTL.Duration()}
	conn, err := dialer.DialContext(context.Background(), "tcp", checker)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }() // the response was read or is not needed
	request := fmt.Sprintf("POST /%s?%s HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
		action, query.Encode(), checker)
	if conn.SetDeadline(time.Now().Add(s.LeaseTTL.Duration())) != nil {
		return false
	}
	last := len(request) - 1
	if _, err := conn.Write([]byte(request[:last])); err != nil || !stillHeld() {
		return false
	}
	if _, err := conn.Write([]byte(request[last:])); err != nil {
		return false
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusNoContent
}
