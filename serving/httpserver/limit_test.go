package httpserver

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/attempt"
	"rowanlink/serving/routing"
	"rowanlink/test/fake/scriptedendpoint"
)

// TestForward_EndpointAtConnectionLimitIsSkipped: a request that may run only once goes to another endpoint if no
// connection may be opened, and the outcome reported to the picker is no sign of the endpoint's health.
func TestForward_EndpointAtConnectionLimitIsSkipped(t *testing.T) {
	reached, release := make(chan struct{}), make(chan struct{})
	r := newTestProxy(t, func(p *scriptedendpoint.Conn) {
		p.ReadRequest()
		close(reached)
		<-release
		p.WriteText(okResponse)
	}, respondWith(okResponse))
	table, err := routing.Parse([]byte(strings.ReplaceAll(testConfiguration, `"conn_cap":100`, `"conn_cap":1`)))
	require.NoError(t, err)
	r.table = table

	pending := make(chan clientResponse)
	go func() { pending <- r.do(r.request("/once/pending", "")) }()
	<-reached
	assert.Equal(t, 200, r.do(r.request("/once/x", "")).status)
	assert.Equal(t, []attempt.Outcome{attempt.AtConnectionLimit, attempt.Succeeded}, r.picker.recordedOutcomes())
	close(release)
	assert.Equal(t, 200, (<-pending).status)
}
