package platform

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"rowanlink/webhook/api"
)

// The outcomes that notices may report.
const (
	deadLettered = "given_up"
	returned     = "handed_back"
)

// notice is an outcome that a member reports to the platform.
type notice struct {
	webhookID    string
	outcome      string
	retryIn      time.Duration
	destinations []api.DestinationID // empty: all that have no outcome yet
}

// RejectNotices has notices answered with 503 until it is called with false.
func (p *Platform) RejectNotices(reject bool) { p.rejectNotices.Store(reject) }

// serveFinals accepts notices, one a line. If one can't be parsed the response is 400, and none counts.
func (v *MemberView) serveFinals(rw http.ResponseWriter, r *http.Request) {
	if v.platform.rejectNotices.Load() {
		http.Error(rw, "come again", http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(rw, "no notice", http.StatusBadRequest)
		return
	}
	var notices []notice
	for _, line := range strings.Split(strings.TrimSpace(string(body)), "\n") {
		n, err := parseNotice(line)
		if err != nil {
			http.Error(rw, "no notice", http.StatusBadRequest)
			return
		}
		notices = append(notices, n)
	}
	for _, n := range notices {
		v.platform.handleNotice(v.Name, n)
	}
	rw.WriteHeader(http.StatusNoContent)
}

func parseNotice(line string) (n notice, err error) {
	fields := gjson.Parse(line)
	message, outcome := fields.Get("message").String(), fields.Get("outcome").String()
	if !gjson.Valid(line) || message == "" || outcome != deadLettered && outcome != returned {
		return n, errors.New("no notice")
	}
	n = notice{
		webhookID: submissionID(message),
		outcome:   outcome,
		retryIn:   time.Duration(fields.Get("retry_in_ms").Int()) * time.Millisecond,
	}
	if d := fields.Get("dest"); d.Exists() {
		n.destinations = append(n.destinations, api.DestinationID(d.Uint()))
	}
	return n, nil
}

// handleNotice records a notice, and notifies the client of the webhook if it is of all destinations.
func (p *Platform) handleNotice(member string, n notice) {
	p.Checker.RecordNotice(p.Now(), member, n.webhookID, n.outcome, n.destinations...)
	p.mu.Lock()
	handle := p.noticeHandlers[n.webhookID]
	p.mu.Unlock()
	if handle != nil && len(n.destinations) == 0 {
		handle(n)
	}
}

// onNotice sets the handler of notices of a webhook.
func (p *Platform) onNotice(id string, handle func(notice)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noticeHandlers[id] = handle
}

// submissionID returns the ID that a webhook was submitted with: that before a dot.
func submissionID(id string) string {
	id, _, _ = strings.Cut(id, ".")
	return id
}
