package main

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/introspect"
	"rowanlink/serving/singleton"
	"rowanlink/serving/state"
)

// newTestReport returns a report of the member at an address, with one row or more for each table.
func newTestReport(address string) introspect.Report {
	report := introspect.Report{Self: state.Member{Name: "a", Address: address}}
	report.SetRecord(&state.Record{Revision: 5, Configuration: state.Configuration{Version: 9},
		Evacuations: []state.Evacuation{{Zone: "n1", Active: true}},
		Voters: state.ReplicaSet{Epoch: 4, Replicas: []state.Replica{{ID: "r1", Address: "127.0.0.1:1"},
			{ID: "r2", Address: "127.0.0.1:2"}}}})
	live := []state.Member{{Name: "a", Role: state.RoleAgent, State: state.MemberReady, Zone: "n1", Region: "north",
		Address: address, ProxyAddress: "10.0.0.1:80"}}
	live = append(live, state.Member{Name: "d", Role: state.RoleCore, State: state.MemberReady, Zone: "n1", Region: "north",
		Address: "127.0.0.1:9"})
	down := []state.Member{{Name: "c", Role: state.RoleCore, Zone: "n2", Region: "north", Address: "127.0.0.1:1"}}
	report.SetMembers(live, down)
	report.Endpoints = []state.Endpoint{
		{ID: "e1", Service: "s", Address: "10.0.0.8:80", Zone: "n1", Slots: 4, Unresponsive: true},
		{ID: "e2", Service: "other", Address: "10.0.0.9:80", Zone: "n1", Slots: 4, State: state.EndpointDraining},
	}
	report.SingletonClaims = []singleton.Claim{{Role: "loads", Holder: "a", Epoch: 7}}
	return report
}

// startMember serves a report and returns a session that calls an address where nothing listens, then the member.
func startMember(t *testing.T) (*session, func() string) {
	t.Helper()
	mux := http.NewServeMux()
	address := startServer(t, mux)
	introspect.Serve(mux, func(request introspect.Request) introspect.Report { return newTestReport(address) })
	s, out := newSession()
	s.targets.members = []string{"127.0.0.1:1", address}
	return s, out.String
}

func TestTables(t *testing.T) {
	for _, test := range []struct {
		name    string
		command interface {
			Run(ctx context.Context, s *session) error
		}
		want []string
	}{
		{"members", &membersCommand{}, []string{"ready  n1", "down   n2", "10.0.0.1:80", "core   learner  ready",
			"core   voter    down"}},
		{"endpoints", &endpointsCommand{}, []string{"accepting, unresponsive", "draining", "e2"}},
		{"replicas", &replicasCommand{}, []string{"c       down     4", "r2  voter    127.0.0.1:2  -       unknown",
			"-   learner  127.0.0.1:9  d       ready"}},
		{"roles", &rolesCommand{}, []string{"loads  a       7"}},
		{"versions", &versionsCommand{}, []string{"a       5         9", "n1", "c       -", "no answer"}},
	} {
		s, printed := startMember(t)
		require.NoError(t, test.command.Run(t.Context(), s), test.name)
		for _, want := range test.want {
			assert.Contains(t, printed(), want, test.name)
		}
	}
}

func TestEndpoints_OfOneService(t *testing.T) {
	s, printed := startMember(t)
	s.json = true
	require.NoError(t, (&endpointsCommand{Service: "other"}).Run(t.Context(), s))
	assert.Contains(t, printed(), `"id": "e2"`)
	assert.Contains(t, printed(), `"state": "closing"`)
	assert.NotContains(t, printed(), `"e1"`)
}

func TestTargets_FromASettingsFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "local.conf")
	content := "node_name=n\nip_addr=10.0.0.1\nzone=z\nregion=r\nport_range=7000,7001\nseed_nodes=10.0.0.2:80\n"
	require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	addresses, err := (&commandLine{Settings: path}).targets()
	require.NoError(t, err)
	assert.Equal(t, targets{control: []string{"10.0.0.2:80"}, members: []string{"10.0.0.1:7000", "10.0.0.2:7000"}}, addresses)

	addresses, err = (&commandLine{Settings: path, Control: []string{"c:1"}, Member: []string{"i:1"}}).targets()
	require.NoError(t, err)
	assert.Equal(t, targets{control: []string{"c:1"}, members: []string{"i:1"}}, addresses)

	addresses, err = (&commandLine{Control: []string{"c:1"}}).targets()
	require.NoError(t, err)
	assert.Equal(t, targets{control: []string{"c:1"}, members: []string{"c:1"}}, addresses, "control addresses serve for reports too")

	_, err = (&commandLine{Settings: filepath.Join(t.TempDir(), "absent")}).targets()
	assert.Error(t, err)
	s, _ := newSession()
	assert.ErrorIs(t, (&membersCommand{}).Run(t.Context(), s), errNoAddress)
}

func TestSettings_CheckReportsErrors(t *testing.T) {
	path := filepath.Join(t.TempDir(), "local.conf")
	require.NoError(t, os.WriteFile(path, []byte("zone=z\n"), 0o600))
	s, _ := newSession()
	assert.ErrorContains(t, (&settingsCheckCommand{File: path}).Run(s), "port_range is missing")
}
