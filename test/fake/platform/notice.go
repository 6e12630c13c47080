package platform

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"rowanlink/webhook/api"
)

// notice is one end as the platform was told of it.
type notice struct {
	outcome string
	retryIn time.Duration
}

// RejectNotices has no notice heard until it is told otherwise.
func (p *Platform) RejectNotices(is bool) { p.rejectNotices.Store(is) }

// serveFinals takes notices, one a line. What can't be read is answered 400, and none of it counts.
func (s *MemberView) serveFinals(rw http.ResponseWriter, r *http.Request) {
	if s.platform.rejectNotices.Load() {
		http.Error(rw, "come again", http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	lines := strings.Split(strings.TrimSpace(string(body)), "\n")
	for _, line := range lines {
		outcome := gjson.Get(line, "outcome").String()
		if err != nil || !gjson.Valid(line) || gjson.Get(line, "message").String() == "" ||
			outcome != "given_up" && outcome != "handed_back" {
			http.Error(rw, "no notice", http.StatusBadRequest)
			return
		}
	}
	for _, line := range lines {
		told, n := gjson.Parse(line), notice{}
		id := submissionID(told.Get("message").String())
		n.outcome, n.retryIn = told.Get("outcome").String(),
			time.Duration(told.Get("retry_in_ms").Int())*time.Millisecond
		var of []api.DestinationID
		if d := told.Get("dest"); d.Exists() {
			of = append(of, api.DestinationID(d.Uint()))
		}
		s.platform.Checker.RecordNotice(s.platform.Now(), s.Name, id, n.outcome, of...)
		s.platform.mu.Lock()
		heard := s.platform.noticeHandlers[id]
		s.platform.mu.Unlock()
		if heard != nil && len(of) == 0 {
			heard(n)
		}
	}
	rw.WriteHeader(http.StatusNoContent)
}

// submissionID is the id that a webhook was handed in with.
func submissionID(id string) string {
	id, _, _ = strings.Cut(id, ".")
	return id
}
