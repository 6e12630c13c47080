package httpserver

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/attempt"
	"rowanlink/serving/routing"
)

// TestAnEndpointAtTheOwnLimitIsNotAsked: a request that may run only once goes to another endpoint where no further
// connection may be opened, and placement hears that this says nothing of the endpoint.
func TestAnEndpointAtTheOwnLimitIsNotAsked(t *testing.T) {
	reached, release := make(chan struct{}), make(chan struct{})
	r := newRig(t, func(p *peer) {
		p.request()
		close(reached)
		<-release
		p.say(okAnswer)
	}, says(okAnswer))
	table, err := routing.Parse([]byte(strings.ReplaceAll(document, `"conn_cap":100`, `"conn_cap":1`)))
	require.NoError(t, err)
	r.table = table

	held := make(chan answer)
	go func() { held <- r.do(r.request("/once/held", "")) }()
	<-reached
	assert.Equal(t, 200, r.do(r.request("/once/x", "")).status)
	assert.Equal(t, []attempt.Outcome{attempt.AtLimit, attempt.Succeeded}, r.placer.ended())
	close(release)
	assert.Equal(t, 200, (<-held).status)
}
