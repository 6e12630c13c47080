package operator_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/tidwall/gjson"
)

// serviceDocument is a configuration with one service.
const serviceDocument = `{"edition":3,"routings":[],"carriers":[{"name":"label-model"}]}`

// rolloutOrder orders a roll-out of that service to version v2.
const rolloutOrder = `{"carrier":"label-model","target":"v2","over_s":12}`

// TestThreeCores_RolloutOrderIsAcknowledged guards against issue 78: every core member answered a roll-out order with
// 404, so that the operator never got an acknowledgement, and no member could report the state of the roll-out.
func TestThreeCores_RolloutOrderIsAcknowledged(t *testing.T) {
	cores := startCores(t)
	cores[0].postUntilOK(t, "/Settings.Replace", serviceDocument, "0")
	status, body := cores[0].call("POST", "/Editions.Begin", rolloutOrder, "")
	require.Equal(t, http.StatusOK, status, body)
	for _, c := range cores {
		status, body := c.call("POST", "/Editions.Begin", rolloutOrder, "")
		assert.Contains(t, []int{http.StatusOK, http.StatusConflict}, status, "sent again to %s: %s", c.name, body)
		status, body = c.call("GET", "/Editions.Read/label-model", "", "")
		assert.Equal(t, http.StatusOK, status, body)
		assert.Equal(t, "in_transit", gjson.Get(body, "state").String(), c.name)
		assert.Equal(t, "v2", gjson.Get(body, "target").String(), c.name)
	}
	cores[2].stop()
	cores[1].stop()
	status, _ = cores[0].call("GET", "/Editions.Read/label-model", "", "")
	assert.Equal(t, http.StatusServiceUnavailable, status, "no majority")
}
