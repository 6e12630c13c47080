package main

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/errcode"
	"rowanlink/serving/operator"
	"rowanlink/serving/rollout"
	"rowanlink/serving/state"
)

// fakeRegister implements operator.Register by a record in memory.
type fakeRegister struct {
	record state.Record
	err    error // returned by each call
}

func (f *fakeRegister) ReplaceConfiguration(_ context.Context, baseVersion uint64, c state.Configuration) error {
	if f.err == nil && baseVersion == f.record.Configuration.Version {
		f.record.Configuration = c
	}
	return f.err
}

func (f *fakeRegister) AmendConfiguration(_ context.Context, amendment operator.Amendment) error {
	if f.err != nil {
		return f.err
	}
	amended, err := amendment.Apply(f.record.Configuration)
	if err == nil {
		f.record.Configuration = amended
	}
	return err
}

func (f *fakeRegister) SetEvacuation(_ context.Context, zone string, active bool) error {
	f.record.Evacuations = []state.Evacuation{{Zone: zone, Active: active}}
	return f.err
}

func (f *fakeRegister) BeginRollout(_ context.Context, order rollout.Order, _ func(uint64) bool) error {
	f.record.SetRollout(state.Rollout{Service: order.Service, Target: order.Target, State: state.RolloutInProgress})
	return f.err
}

func (f *fakeRegister) Read(context.Context) (state.Record, error) { return f.record, f.err }

// startCore serves the operators' API with a fake register and returns its address.
func startCore(t *testing.T, register *fakeRegister) (address string) {
	t.Helper()
	log := zerolog.Nop()
	handler := operator.New(operator.Options{Register: register, Regions: map[string]string{"n1": "north"}, Log: &log})
	return startServer(t, handler)
}

// startServer serves a handler and returns its address.
func startServer(t *testing.T, handler http.Handler) (address string) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// newSession returns a session that calls the control addresses and prints into the buffer.
func newSession(control ...string) (*session, *bytes.Buffer) {
	var out bytes.Buffer
	return &session{targets: targets{control: control}, out: &out}, &out
}

const testDocument = `{"edition":3,"routings":[],"carriers":[]}`

func writeDocument(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "configuration.json")
	require.NoError(t, os.WriteFile(path, []byte(testDocument), 0o600))
	return path
}

func TestConfig_PutAndGet(t *testing.T) {
	register := &fakeRegister{}
	s, out := newSession(startCore(t, register))
	require.NoError(t, (&configPutCommand{File: writeDocument(t)}).Run(t.Context(), s))
	assert.Equal(t, uint64(3), register.record.Configuration.Version)
	assert.Equal(t, "acknowledged: in force\n", out.String())
	out.Reset()
	require.NoError(t, (&configGetCommand{}).Run(t.Context(), s))
	assert.Equal(t, testDocument+"\n", out.String())
}

func writeAmendment(t *testing.T, amendment string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "amendment.json")
	require.NoError(t, os.WriteFile(path, []byte(amendment), 0o600))
	return path
}

func TestConfig_Amend(t *testing.T) {
	register := &fakeRegister{}
	s, out := newSession(startCore(t, register))
	require.NoError(t, (&configPutCommand{File: writeDocument(t)}).Run(t.Context(), s))
	file := writeAmendment(t, `{"edition":4,"upsert":{"carriers":[{"name":"s"}]},"remove":{"routings":["gone"]}}`)
	out.Reset()
	require.NoError(t, (&configAmendCommand{File: file, Base: 3, DryRun: true}).Run(t.Context(), s))
	assert.Equal(t, "add carriers s\n", out.String())
	assert.Equal(t, uint64(3), register.record.Configuration.Version, "a dry run changes nothing")
	require.NoError(t, (&configAmendCommand{File: file, Base: 3}).Run(t.Context(), s))
	document, err := register.record.Configuration.Decompress()
	require.NoError(t, err)
	assert.Equal(t, `{"edition":4,"routings":[],"carriers":[{"name":"s"}]}`, string(document))
	assert.ErrorContains(t, (&configAmendCommand{File: file, Base: 3, DryRun: true}).Run(t.Context(), s), "version 4 is current")
	assert.ErrorContains(t, (&configAmendCommand{File: file, Base: 4, DryRun: true}).Run(t.Context(), s), "not above")
	assert.ErrorContains(t, (&configAmendCommand{File: writeAmendment(t, `{"edition":5,"upsert":{"routes":[]}}`)}).Run(t.Context(), s), "routes")
}

func TestConfig_AmendDryRunOutput(t *testing.T) {
	const twoChanges = `{"edition":4,"upsert":{"carriers":[{"name":"s"},{"name":"t"}]}}`
	const noChanges = `{"edition":4,"remove":{"routings":["absent"]}}`
	tests := map[string]struct {
		amendment string
		json      bool
		want      string
	}{
		"one change a line":  {amendment: twoChanges, want: "add carriers s\nadd carriers t\n"},
		"no changes":         {amendment: noChanges, want: ""},
		"no changes as JSON": {amendment: noChanges, json: true, want: "[]\n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s, out := newSession(startCore(t, &fakeRegister{}))
			require.NoError(t, (&configPutCommand{File: writeDocument(t)}).Run(t.Context(), s))
			out.Reset()
			s.json = test.json
			amend := &configAmendCommand{File: writeAmendment(t, test.amendment), Base: 3, DryRun: true}
			require.NoError(t, amend.Run(t.Context(), s))
			assert.Equal(t, test.want, out.String())
		})
	}
}

func TestEvacuate_BeginAndEnd(t *testing.T) {
	register := &fakeRegister{}
	s, _ := newSession(startCore(t, register))
	require.NoError(t, (&evacuateCommand{Zone: "n1"}).Run(t.Context(), s))
	assert.True(t, register.record.Evacuated("n1"))
	require.NoError(t, (&evacuateCommand{Zone: "n1", End: true}).Run(t.Context(), s))
	assert.False(t, register.record.Evacuated("n1"))
}

func TestRejection_IsFinal(t *testing.T) {
	register := &fakeRegister{err: &errcode.Error{Kind: errcode.Kind{Code: 999, Status: 412, Message: "other base"}}}
	calls := 0
	other := startServer(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls++ }))
	s, _ := newSession(startCore(t, register), other)
	err := (&configPutCommand{File: writeDocument(t)}).Run(t.Context(), s)
	assert.ErrorContains(t, err, "other base")
	assert.Equal(t, exitRejected, exitCode(err))
	assert.Zero(t, calls)
}

// TestFailover makes the first core member fail in different ways; the call must then succeed at the second one.
func TestFailover(t *testing.T) {
	faults := map[string]http.HandlerFunc{
		"unavailable":   func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		"too many":      func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) },
		"connection":    func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"partial body":  writePartialBody,
		"not listening": nil,
	}
	for name, fault := range faults {
		first := "127.0.0.1:1" // nothing listens there
		if fault != nil {
			first = startServer(t, fault)
		}
		register := &fakeRegister{}
		s, _ := newSession(first, startCore(t, register))
		require.NoError(t, (&evacuateCommand{Zone: "n1"}).Run(t.Context(), s), name)
		assert.True(t, register.record.Evacuated("n1"), name)
	}
}

func writePartialBody(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = w.Write([]byte("{"))
}

func TestRedirect_IsFollowedWithTheBody(t *testing.T) {
	register := &fakeRegister{}
	second := startCore(t, register)
	first := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		http.Redirect(w, r, "http://"+second+r.URL.Path, http.StatusTemporaryRedirect)
	}))
	s, _ := newSession(first)
	require.NoError(t, (&configPutCommand{File: writeDocument(t)}).Run(t.Context(), s))
	assert.Equal(t, uint64(3), register.record.Configuration.Version)
}

func TestTimeout_IsInDoubt(t *testing.T) {
	s, _ := newSession(startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	})))
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	err := (&evacuateCommand{Zone: "n1"}).Run(ended, s)
	assert.ErrorContains(t, err, "no clear answer")
	assert.Equal(t, exitInDoubt, exitCode(err))
	s.targets = targets{}
	assert.ErrorIs(t, (&configGetCommand{}).Run(ended, s), errNoAddress)
}

func TestConfig_CheckMakesNoCalls(t *testing.T) {
	s, out := newSession()
	require.NoError(t, (&configCheckCommand{File: writeDocument(t)}).Run(s))
	assert.Equal(t, "the document is in order: version 3, 0 routes, 0 services\n", out.String())
	invalid := filepath.Join(t.TempDir(), "invalid.json")
	require.NoError(t, os.WriteFile(invalid, []byte(`{"edition":3,"routings":[{"carrier":"absent"}]}`), 0o600))
	err := (&configCheckCommand{File: invalid}).Run(s)
	assert.ErrorContains(t, err, "station")
	assert.Equal(t, exitFailed, exitCode(err))
}
