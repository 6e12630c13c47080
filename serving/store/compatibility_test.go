package store

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/register"
	"rowanlink/serving/state"
)

// copyFixture copies a file that was written by release 63a0b91 into a new directory, and returns the directory.
func copyFixture(t *testing.T, name string) string {
	t.Helper()
	directory := t.TempDir()
	content, err := os.ReadFile(filepath.Join("testdata", "compatibility", name))
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(filepath.Join(directory, name), content, 0o600))
	return directory
}

func newConfiguration(t *testing.T, version uint64, document string) state.Configuration {
	t.Helper()
	configuration, err := state.NewConfiguration(version, []byte(document))
	require.NoError(t, err)
	return configuration
}

// TestCompatibility_ReplicaFile reads the replica's file of release 63a0b91: an upgrade must not lose votes, the
// configuration or the evacuations.
func TestCompatibility_ReplicaFile(t *testing.T) {
	const oldDocument, newDocument = `{"version":3,"models":[]}`, `{"version":7,"models":[{"name":"m"}]}`
	oldConfiguration := newConfiguration(t, 3, oldDocument)
	newestConfiguration := newConfiguration(t, 7, newDocument)
	oldUpdate := state.AppliedUpdate{Version: 3, Digest: oldConfiguration.Digest}
	newestUpdate := state.AppliedUpdate{Version: 7, Digest: newestConfiguration.Digest}
	first := state.Replica{ID: "replica-a", Address: "10.0.0.1:7000"}
	second := state.Replica{ID: "replica-b", Address: "10.0.0.2:7000"}
	voters := state.ReplicaSet{Epoch: 2, Replicas: []state.Replica{first, second}}
	want := register.AcceptorState{
		ReplicaID: "replica-a",
		Promised:  register.Ballot{Number: 1 << 40, Proposer: "proposer-q"},
		Accepted:  register.Ballot{Number: 17, Proposer: "proposer-p"},
		Proposal: register.Proposal{
			Record: state.Record{
				Revision:      42,
				Configuration: newestConfiguration,
				History:       []state.AppliedUpdate{oldUpdate, newestUpdate},
				Evacuations: []state.Evacuation{
					{Zone: "zone-a", Active: true, Revision: 40},
					{Zone: "zone-b", Active: false, Revision: 38},
				},
				Voters:           voters,
				TruncatedVersion: 2,
			},
			OutgoingVoters: state.ReplicaSet{Epoch: 1, Replicas: []state.Replica{first}},
			Changes: []register.ChangeID{
				{Proposer: "proposer-o", Sequence: 1},
				{Proposer: "proposer-p", Sequence: 2},
			},
		},
		Learned: state.Record{
			Revision:         41,
			Configuration:    oldConfiguration,
			History:          []state.AppliedUpdate{oldUpdate},
			Voters:           voters,
			TruncatedVersion: 2,
		},
	}

	saved, found := load(t, openStore(t, copyFixture(t, replicaFileName)))

	assert.True(t, found)
	// The documents are compared decompressed, since their compressed form may change with the version of Go.
	assertDocument(t, newDocument, &saved.Proposal.Record)
	assertDocument(t, oldDocument, &saved.Learned)
	want.Proposal.Record.Configuration.Document = saved.Proposal.Record.Configuration.Document
	want.Learned.Configuration.Document = saved.Learned.Configuration.Document
	assert.Equal(t, want, saved)
	assert.True(t, saved.Proposal.Record.Evacuated("zone-a"))
	assert.False(t, saved.Proposal.Record.Evacuated("zone-b"))
}

func assertDocument(t *testing.T, want string, record *state.Record) {
	t.Helper()
	document, err := record.Configuration.Decompress()
	require.NoError(t, err)
	assert.Equal(t, want, string(document))
}

// TestCompatibility_EndpointFile reads the endpoint store of release 63a0b91. That release had also saved a third
// endpoint and removed it again.
func TestCompatibility_EndpointFile(t *testing.T) {
	log := zerolog.Nop()
	s := OpenEndpointStore(copyFixture(t, endpointFileName), &log)
	t.Cleanup(s.Close)

	endpoints, err := s.Load()

	require.NoError(t, err)
	want := []state.Endpoint{
		{
			ID:               "endpoint-1",
			Service:          "chat",
			Address:          "10.1.0.1:8000",
			Zone:             "zone-a",
			SoftwareVersion:  "v1.2",
			Slots:            16,
			State:            state.EndpointAccepting,
			Sequence:         9,
			Unresponsive:     true,
			Failing:          true,
			WarmupLeftMillis: 1500,
			RemovalInMillis:  60_000,
			Receiver:         "agent-1",
			Models:           []state.Model{{Name: "m", Version: 4, Adapters: []string{"x", "y"}}},
		},
		{
			ID:       "endpoint-2",
			Service:  "chat",
			Address:  "10.1.0.2:8000",
			Zone:     "zone-b",
			Slots:    8,
			State:    state.EndpointDraining,
			Sequence: 12,
			Receiver: "agent-2",
		},
	}
	assert.ElementsMatch(t, want, endpoints)
}
