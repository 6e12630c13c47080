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
		{name: "success", status: 200, header: stamped, id: own, outcome: attempt.Succeeded, kind: responseMatches},
		{name: "success without stamp", status: 200, header: bare, id: own, outcome: attempt.Broken, kind: responseInvalid},
		{name: "success without id", status: 200, header: stamped, outcome: attempt.Broken, kind: responseInvalid},
		{name: "success of another request", status: 200, header: stamped, id: other, outcome: attempt.Broken, kind: responseForeign},
		{name: "encoded", status: 200, header: http.Header{"X-Postmark": {"s"}, "Content-Encoding": {"gzip"}}, id: own, outcome: attempt.Broken, kind: responseInvalid},
		{name: "identity encoding", status: 200, header: http.Header{"X-Postmark": {"s"}, "Content-Encoding": {"identity"}}, id: own, outcome: attempt.Succeeded, kind: responseMatches},
		{name: "server error", status: 500, header: bare, id: own, outcome: attempt.Failed, kind: responseMatches},
		{name: "gateway time-out", status: 504, header: bare, id: own, outcome: attempt.Failed, kind: responseMatches},
		{name: "server error without id", status: 500, header: bare, outcome: attempt.Broken, kind: responseInvalid},
		{name: "server error marked", status: 500, header: marked, id: own, outcome: attempt.Failed, kind: responseMatches},
		{name: "not found", status: 404, header: bare, id: own, outcome: attempt.Succeeded, kind: responseMatches},
		{name: "full", status: 503, header: marked, id: own, outcome: attempt.Rejected, kind: responseMatches},
		{name: "full without id", status: 503, header: marked, outcome: attempt.Rejected, kind: responseMatches},
		{name: "full, of another request", status: 503, header: marked, id: other, outcome: attempt.Broken, kind: responseForeign},
		{name: "full without mark", status: 503, header: bare, id: own, outcome: attempt.Failed, kind: responseMatches},
		{name: "full without mark or id", status: 503, header: bare, outcome: attempt.Broken, kind: responseInvalid},
		{name: "too many", status: 429, header: marked, id: own, outcome: attempt.Rejected, kind: responseMatches},
		{name: "too many without mark", status: 429, header: bare, id: own, outcome: attempt.Failed, kind: responseMatches},
		{name: "request time-out", status: 408, header: bare, id: own, outcome: attempt.Failed, kind: responseMatches},
		{name: "unreadable", status: 400, header: marked, outcome: attempt.Rejected, kind: responseMatches},
		{name: "bad request", status: 400, header: bare, id: own, outcome: attempt.Succeeded, kind: responseMatches},
		{name: "other incarnation", status: 421, header: bare, outcome: attempt.Misdirected, kind: responseMatches},
		{name: "other incarnation with id", status: 421, header: bare, id: own, outcome: attempt.Misdirected, kind: responseMatches},
		{name: "invalid status", status: 700, header: stamped, id: own, outcome: attempt.Broken, kind: responseInvalid},
		{name: "protocol change", status: 101, header: stamped, id: own, outcome: attempt.Broken, kind: responseInvalid},
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
