package loadreport

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/serving/state"
)

// FuzzReport checks that for each report that can be parsed, the load's numbers aren't negative and their sum doesn't
// overflow.
func FuzzReport(f *testing.F) {
	f.Add([]byte(reportBody))
	f.Add([]byte(`{"queued":-1,"in_flight":9223372036854775807,"cache_used":9223372036854775807,"cache_total":-3}`))
	f.Add([]byte(`{"queued":1.0,"in_flight":null}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		reported, err := parseReport(body)
		if err != nil {
			return
		}
		var filter changeFilter
		filter.beginRound(1)
		load, changed := filter.accept(state.Endpoint{ID: "e", Slots: 16}, reported)
		assert.True(t, changed)
		for _, number := range []int{load.Queued, load.Running, load.CacheUsed, load.CacheTotal, load.Queued + load.Running} {
			assert.GreaterOrEqual(t, number, 0)
		}
	})
}
