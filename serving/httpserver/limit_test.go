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

// TestForward_EndpointAtConnectionLimitIsSkipped: if the limit of connections to an endpoint is reached, even a request
// that may run only once goes to another endpoint. The outcome reported to the picker doesn't count against the first
// endpoint's health.
func TestForward_EndpointAtConnectionLimitIsSkipped(t *testing.T) {
	reached, release := make(chan struct{}), make(chan struct{})
	proxy := newTestProxy(t, func(conn *scriptedendpoint.Conn) {
		conn.ReadRequest()
		close(reached)
		<-release
		conn.WriteText(okResponse)
	}, respondWith(okResponse))
	table, err := routing.Parse([]byte(strings.ReplaceAll(testConfiguration, `"conn_cap":100`, `"conn_cap":1`)))
	require.NoError(t, err)
	proxy.table = table

	pending := make(chan clientResponse)
	go func() { pending <- proxy.do(proxy.request("/once/pending", "")) }()
	<-reached
	assert.Equal(t, 200, proxy.do(proxy.request("/once/x", "")).status)
	assert.Equal(t, []attempt.Outcome{attempt.AtConnectionLimit, attempt.Succeeded}, proxy.picker.recordedOutcomes())
	close(release)
	assert.Equal(t, 200, (<-pending).status)
}
