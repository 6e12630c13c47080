package operator

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/errcode"
)

// heartbeatDocument is a heartbeat as an endpoint writes it.
type heartbeatDocument struct {
	Service         string          `json:"carrier"`
	Address         string          `json:"address"`
	Zone            string          `json:"zone"`
	Edition         string          `json:"edition"`
	Slots           int             `json:"berths"`
	State           string          `json:"state"`
	ColdLeftMillis  float64         `json:"cold_left_ms"`
	RemainingMillis float64         `json:"remaining_ms"`
	Sequence        uint64          `json:"call_seq"`
	Models          []modelDocument `json:"models"`
}

type modelDocument struct {
	Name     string   `json:"name"`
	Edition  int      `json:"edition"`
	Adapters []string `json:"adapters"`
}

// FuzzHeartbeat: no heartbeat that is taken has a negative number or lacks what nobody can do without, and what was
// understood means the same when it is written and read again.
func FuzzHeartbeat(f *testing.F) {
	f.Add([]byte(`{"carrier":"huvo11a","address":"10.128.0.9:8080","zone":"z","edition":"v1","berths":128,
		"state":"accepting","cold_left_ms":12.5,"stage":"both","models":[{"name":"m","edition":1,"adapters":["a"]}],"call_seq":4}`))
	f.Add([]byte(`{"carrier":"s","address":"a","state":"closing","remaining_ms":1e308,"call_seq":18446744073709551615}`))
	f.Add([]byte(`{"carrier":"s","address":"a","edition":{"x":[1]},"models":[{"edition":-9e99,"adapters":"one"}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		beat, err := readHeartbeat(body)
		if err != nil {
			assert.True(t, errcode.HeartbeatUnreadable.Is(err), "%v", err)
			return
		}
		assert.NotEmpty(t, beat.Service)
		assert.NotEmpty(t, beat.Address)
		assert.GreaterOrEqual(t, beat.Slots, 0)
		assert.GreaterOrEqual(t, int64(beat.WarmUpRemaining), int64(0))
		assert.GreaterOrEqual(t, int64(beat.Remaining), int64(0))
		document := heartbeatDocument{Service: beat.Service, Address: beat.Address, Zone: beat.Zone, Edition: beat.Edition,
			Slots: beat.Slots, State: "accepting", ColdLeftMillis: float64(beat.WarmUpRemaining) / 1e6,
			RemainingMillis: float64(beat.Remaining) / 1e6, Sequence: beat.Sequence}
		if beat.Closing {
			document.State = "closing"
		}
		for _, model := range beat.Models {
			document.Models = append(document.Models, modelDocument{model.Name, model.Version, model.Adapters})
		}
		written, err := json.Marshal(document)
		require.NoError(t, err)
		again, err := readHeartbeat(written)
		require.NoError(t, err)
		assert.InDelta(t, float64(beat.WarmUpRemaining), float64(again.WarmUpRemaining), 1)
		assert.InDelta(t, float64(beat.Remaining), float64(again.Remaining), 1)
		assert.Equal(t, len(beat.Models), len(again.Models))
		assert.Equal(t, beat.Sequence, again.Sequence)
		assert.Equal(t, beat.Slots, again.Slots)
		assert.Equal(t, beat.Closing, again.Closing)
	})
}
