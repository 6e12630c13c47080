package upstream

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/serving/attempt"
)

func TestClassify(t *testing.T) {
	const own, other, none = "a1", "b2", ""
	marked := http.Header{"X-Not-Delivered": {"1"}}
	stamped := http.Header{"X-Postmark": {"s"}}
	bare := http.Header{}
	for _, c := range []struct {
		name    string
		status  int
		header  http.Header
		id      string
		outcome attempt.Outcome
		kind    responseKind
	}{
		{"success", 200, stamped, own, attempt.Succeeded, responseMatches},
		{"success without stamp", 200, bare, own, attempt.Broken, responseInvalid},
		{"success without id", 200, stamped, none, attempt.Broken, responseInvalid},
		{"success of another request", 200, stamped, other, attempt.Broken, responseForeign},
		{"encoded", 200, http.Header{"X-Postmark": {"s"}, "Content-Encoding": {"gzip"}}, own, attempt.Broken, responseInvalid},
		{"identity encoding", 200, http.Header{"X-Postmark": {"s"}, "Content-Encoding": {"identity"}}, own, attempt.Succeeded, responseMatches},
		{"own error", 500, bare, own, attempt.Failed, responseMatches},
		{"own time-out", 504, bare, own, attempt.Failed, responseMatches},
		{"own error without id", 500, bare, none, attempt.Broken, responseInvalid},
		{"own error marked", 500, marked, own, attempt.Failed, responseMatches},
		{"not found", 404, bare, own, attempt.Succeeded, responseMatches},
		{"full", 503, marked, own, attempt.Rejected, responseMatches},
		{"full without id", 503, marked, none, attempt.Rejected, responseMatches},
		{"full, of another request", 503, marked, other, attempt.Broken, responseForeign},
		{"full without mark", 503, bare, own, attempt.Failed, responseMatches},
		{"full without mark or id", 503, bare, none, attempt.Broken, responseInvalid},
		{"too many", 429, marked, own, attempt.Rejected, responseMatches},
		{"too many without mark", 429, bare, own, attempt.Failed, responseMatches},
		{"request time-out", 408, bare, own, attempt.Failed, responseMatches},
		{"unreadable", 400, marked, none, attempt.Rejected, responseMatches},
		{"bad request", 400, bare, own, attempt.Succeeded, responseMatches},
		{"other incarnation", 421, bare, none, attempt.Misdirected, responseMatches},
		{"other incarnation with id", 421, bare, own, attempt.Misdirected, responseMatches},
		{"no status", 700, stamped, own, attempt.Broken, responseInvalid},
		{"protocol change", 101, stamped, own, attempt.Broken, responseInvalid},
	} {
		header := c.header.Clone()
		if c.id != none {
			header.Set("X-Attempt-Id", c.id)
		}
		outcome, kind := classify(c.status, header, own)
		assert.Equal(t, c.kind, kind, c.name)
		if kind == responseMatches {
			assert.Equal(t, c.outcome, outcome, c.name)
		}
	}
}

func TestParseIdleTimeout(t *testing.T) {
	for value, millis := range map[string]int64{
		"": 2000, "timeout=5": 4000, "max=3, Timeout=10": 8000, "timeout=x": 2000, "timeout=0": 0, "timeout=-1": 2000,
	} {
		header := http.Header{}
		if value != "" {
			header.Set("Keep-Alive", value)
		}
		assert.Equal(t, millis, parseIdleTimeout(header).Milliseconds(), value)
	}
}
