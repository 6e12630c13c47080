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
	"rowanlink/serving/state"
)

// fakeRegister holds a record without replicas. It implements operator.Register.
type fakeRegister struct {
	record state.Record
	fails  error
}

func (f *fakeRegister) ReplaceConfiguration(_ context.Context, basedOn uint64, c state.Configuration) error {
	if f.fails == nil && basedOn == f.record.Configuration.Version {
		f.record.Configuration = c
	}
	return f.fails
}

func (f *fakeRegister) AmendConfiguration(_ context.Context, order operator.Amendment) error {
	if f.fails != nil {
		return f.fails
	}
	amended, err := order.Apply(f.record.Configuration)
	if err == nil {
		f.record.Configuration = amended
	}
	return err
}

func (f *fakeRegister) SetEvacuation(_ context.Context, zone string, active bool) error {
	f.record.Evacuations = []state.Evacuation{{Zone: zone, Active: active}}
	return f.fails
}

func (f *fakeRegister) Read(context.Context) (state.Record, error) { return f.record, f.fails }

// core serves the real operator's API over a register.
func core(t *testing.T, register *fakeRegister) (address string) {
	log := zerolog.Nop()
	handler := operator.New(operator.Options{Register: register, Regions: map[string]string{"n1": "north"}, Log: &log})
	return serve(t, handler)
}

// serve runs a handler and returns its address.
func serve(t *testing.T, handler http.Handler) (address string) {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// at makes a session that calls the control addresses and prints into the buffer.
func at(t *testing.T, control ...string) (*session, *bytes.Buffer) {
	var out bytes.Buffer
	return &session{ctx: t.Context(), where: targets{control: control}, out: &out}, &out
}

const someDocument = `{"edition":3,"routings":[],"carriers":[]}`

func documentFile(t *testing.T) string {
	path := filepath.Join(t.TempDir(), "configuration.json")
	require.NoError(t, os.WriteFile(path, []byte(someDocument), 0o600))
	return path
}

func TestConfigurationIsPutAndReadBack(t *testing.T) {
	register := &fakeRegister{}
	s, out := at(t, core(t, register))
	require.NoError(t, (&configPutCommand{File: documentFile(t)}).Run(s))
	assert.Equal(t, uint64(3), register.record.Configuration.Version)
	assert.Equal(t, "acknowledged: in force\n", out.String())
	out.Reset()
	require.NoError(t, (&configGetCommand{}).Run(s))
	assert.Equal(t, someDocument+"\n", out.String())
}

func amendmentFile(t *testing.T, amendment string) string {
	path := filepath.Join(t.TempDir(), "amendment.json")
	require.NoError(t, os.WriteFile(path, []byte(amendment), 0o600))
	return path
}

func TestConfigurationIsAmended(t *testing.T) {
	register := &fakeRegister{}
	s, out := at(t, core(t, register))
	require.NoError(t, (&configPutCommand{File: documentFile(t)}).Run(s))
	file := amendmentFile(t, `{"edition":4,"upsert":{"carriers":[{"name":"s"}]},"remove":{"routings":["gone"]}}`)
	out.Reset()
	require.NoError(t, (&configAmendCommand{File: file, Base: 3, DryRun: true}).Run(s))
	assert.Equal(t, "add carriers s\n", out.String())
	assert.Equal(t, uint64(3), register.record.Configuration.Version, "a dry run changes nothing")
	require.NoError(t, (&configAmendCommand{File: file, Base: 3}).Run(s))
	document, err := register.record.Configuration.Decompress()
	require.NoError(t, err)
	assert.Equal(t, `{"edition":4,"routings":[],"carriers":[{"name":"s"}]}`, string(document))
	assert.ErrorContains(t, (&configAmendCommand{File: file, Base: 3, DryRun: true}).Run(s), "version 4 is current")
	assert.ErrorContains(t, (&configAmendCommand{File: file, Base: 4, DryRun: true}).Run(s), "not above")
	assert.ErrorContains(t, (&configAmendCommand{File: amendmentFile(t, `{"edition":5,"upsert":{"routes":[]}}`)}).Run(s), "routes")
}

func TestZoneIsEvacuatedAndTakenBack(t *testing.T) {
	register := &fakeRegister{}
	s, _ := at(t, core(t, register))
	require.NoError(t, (&evacuateCommand{Zone: "n1"}).Run(s))
	assert.True(t, register.record.Evacuated("n1"))
	require.NoError(t, (&evacuateCommand{Zone: "n1", End: true}).Run(s))
	assert.False(t, register.record.Evacuated("n1"))
}

func TestClearRefusalEndsAtOnce(t *testing.T) {
	register := &fakeRegister{fails: &errcode.Error{Kind: errcode.Kind{Code: 999, Status: 412, Message: "other base"}}}
	calls := 0
	other := serve(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls++ }))
	s, _ := at(t, core(t, register), other)
	err := (&configPutCommand{File: documentFile(t)}).Run(s)
	assert.ErrorContains(t, err, "other base")
	assert.Equal(t, exitRefused, exitCode(err))
	assert.Zero(t, calls)
}

// TestUnclearAnswersGoToTheNextCore breaks the first core at each point in turn.
func TestUnclearAnswersGoToTheNextCore(t *testing.T) {
	faults := map[string]http.HandlerFunc{
		"unavailable":   func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		"too many":      func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) },
		"connection":    func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"half a body":   halfABody,
		"no such thing": nil,
	}
	for name, fault := range faults {
		first := "127.0.0.1:1" // nobody listens there
		if fault != nil {
			first = serve(t, fault)
		}
		register := &fakeRegister{}
		s, _ := at(t, first, core(t, register))
		require.NoError(t, (&evacuateCommand{Zone: "n1"}).Run(s), name)
		assert.True(t, register.record.Evacuated("n1"), name)
	}
}

func halfABody(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = w.Write([]byte("{"))
}

func TestRedirectIsFollowedWithTheBody(t *testing.T) {
	register := &fakeRegister{}
	second := core(t, register)
	first := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		http.Redirect(w, r, "http://"+second+r.URL.Path, http.StatusTemporaryRedirect)
	}))
	s, _ := at(t, first)
	require.NoError(t, (&configPutCommand{File: documentFile(t)}).Run(s))
	assert.Equal(t, uint64(3), register.record.Configuration.Version)
}

func TestOrderEndsWithTheTime(t *testing.T) {
	s, _ := at(t, serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	})))
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	s.ctx = ended
	err := (&evacuateCommand{Zone: "n1"}).Run(s)
	assert.ErrorContains(t, err, "no clear answer")
	assert.Equal(t, exitUnclear, exitCode(err))
	s.where = targets{}
	assert.ErrorIs(t, (&configGetCommand{}).Run(s), errNoControl)
}

func TestDocumentIsCheckedWithoutACall(t *testing.T) {
	s, out := at(t)
	require.NoError(t, (&configCheckCommand{File: documentFile(t)}).Run(s))
	assert.Equal(t, "the document is in order: version 3, 0 routes, 0 services\n", out.String())
	wrong := filepath.Join(t.TempDir(), "wrong.json")
	require.NoError(t, os.WriteFile(wrong, []byte(`{"edition":3,"routings":[{"carrier":"absent"}]}`), 0o600))
	err := (&configCheckCommand{File: wrong}).Run(s)
	assert.ErrorContains(t, err, "station")
	assert.Equal(t, exitFailed, exitCode(err))
}
