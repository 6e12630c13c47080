package introspect

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/serving/state"
)

func TestMetricsWriter(t *testing.T) {
	var asked Request
	write := MetricsWriter(func(request Request) Report {
		asked = request
		return Report{
			Revision:  9,
			Version:   4,
			Evacuated: []string{"z"},
			Voters:    state.ReplicaSet{Replicas: make([]state.Replica, 3)},
			Members:   []Member{{}, {}, {Down: true}},
			Endpoints: []state.Endpoint{{State: state.EndpointAccepting}, {State: state.EndpointDraining},
				{State: state.EndpointAccepting}},
		}
	})
	var written bytes.Buffer
	write(&written)
	assert.True(t, asked.IncludeTables)
	assert.Equal(t, `rowan_record_revision 9
rowan_configuration_version 4
rowan_evacuated_zones 1
rowan_voters 3
rowan_members{state="live"} 2
rowan_members{state="down"} 1
rowan_endpoints{state="accepting"} 2
rowan_endpoints{state="draining"} 1
rowan_endpoints{state="departed"} 0
`, written.String())
}
