package member

import (
	"bufio"
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

// RunLeaseWorkload has the session want tasks and do deeds by them, for tests only: ROWAN_GUARD is the host:port of a
// guard, which is told when each began and ended, ROWAN_GUARD_TASKS the tasks, split by commas, and
// ROWAN_GUARD_FENCE=1 has the guard refuse what comes with an epoch gone by.
func (s *Session) RunLeaseWorkload(env func(string) string) {
	guard := env("ROWAN_GUARD")
	if guard == "" {
		return
	}
	for name := range strings.SplitSeq(env("ROWAN_GUARD_TASKS"), ",") {
		if name == "" {
			continue
		}
		s.Acquire(cluster.Resource(name))
		s.done.Go(func() { s.workloadLoop(guard, cluster.Resource(name), env("ROWAN_GUARD_FENCE") == "1") })
	}
}

// A deed lasts up to a tenth of a term, and the pause between two is as long.
const workloadDelayDivisor = 10

func (s *Session) workloadLoop(guard string, t cluster.Resource, fenced bool) {
	for s.sleep(s.workloadDelay()) {
		s.DoWhileHeld(t, func(e cluster.Epoch, still func() bool) {
			with := url.Values{"task": {string(t)}, "epoch": {strconv.FormatUint(uint64(e), 10)},
				"member": {string(s.Self)}}
			if fenced {
				with.Set("fence", "1")
			}
			if s.reportToGuard(guard, "begin", with, still) && s.sleep(s.workloadDelay()) {
				s.reportToGuard(guard, "end", with, still)
			}
		})
	}
}

func (s *Session) workloadDelay() api.Micros {
	return 1 + api.Micros(s.Leader.drawRandom()*float64(s.LeaseTTL/workloadDelayDivisor))
}

// reportToGuard looks once more whether the task is held right before the last byte goes out.
func (s *Session) reportToGuard(guard, what string, with url.Values, still func() bool) bool {
	c, err := net.DialTimeout("tcp", guard, duration(s.LeaseTTL))
	if err != nil {
		return false
	}
	defer c.Close()
	said := fmt.Sprintf("POST /%s?%s HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
		what, with.Encode(), guard)
	if c.SetDeadline(time.Now().Add(duration(s.LeaseTTL))) != nil {
		return false
	}
	last := len(said) - 1
	if _, err := c.Write([]byte(said[:last])); err != nil || !still() {
		return false
	}
	if _, err := c.Write([]byte(said[last:])); err != nil {
		return false
	}
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusNoContent
}
