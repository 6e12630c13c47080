package operator

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"rowanlink/serving/endpoints"
	"rowanlink/serving/quorum"
	"rowanlink/serving/register"
	"rowanlink/serving/rollout"
	"rowanlink/serving/state"
)

// errNoMajority is an error of the register that leaves open whether a change was committed.
var errNoMajority = errors.New("no majority")

// fakeRegister holds a record in memory. failAt and hangAt make the calls with the given numbers, counted from 1, fail
// or hang.
type fakeRegister struct {
	record      state.Record
	changeError error // returned by each change
	calls       int
	failAt      map[int]error
	hangAt      map[int]bool
}

// enter counts a call and lets it fail or hang if that is planned for it.
func (f *fakeRegister) enter(ctx context.Context) error {
	f.calls++
	if f.hangAt[f.calls] {
		<-ctx.Done()
		return ctx.Err()
	}
	return f.failAt[f.calls]
}

func (f *fakeRegister) ReplaceConfiguration(ctx context.Context, _ uint64, configuration state.Configuration) error {
	if err := f.enter(ctx); err != nil {
		return err
	}
	if f.changeError != nil {
		return f.changeError
	}
	f.record.Configuration = configuration
	return nil
}

func (f *fakeRegister) AmendConfiguration(ctx context.Context, amendment Amendment) error {
	if err := f.enter(ctx); err != nil {
		return err
	}
	if f.changeError != nil {
		return f.changeError
	}
	amended, err := amendment.Apply(f.record.Configuration)
	if err == nil {
		f.record.Configuration = amended
	}
	return err
}

func (f *fakeRegister) SetEvacuation(ctx context.Context, zone string, active bool) error {
	if err := f.enter(ctx); err != nil {
		return err
	}
	f.record.Evacuations = []state.Evacuation{{Zone: zone, Active: active}}
	return nil
}

func (f *fakeRegister) BeginRollout(ctx context.Context, order rollout.Order, isRecent func(uint64) bool) error {
	if err := f.enter(ctx); err != nil {
		return err
	}
	begin := rollout.Begin(order, isRecent, func(configuration state.Configuration) error {
		return checkService(configuration, order.Service)
	})
	next, err := begin(f.record)
	if errors.Is(err, register.ErrNoChange) {
		return nil
	}
	if err == nil {
		f.record = next
	}
	return err
}

func (f *fakeRegister) Read(ctx context.Context) (state.Record, error) {
	return f.record, f.enter(ctx)
}

// fakeReplicator records the endpoints that it is to send. As many of the next calls of PutReplicated as the field
// failures says fail when their context ends.
type fakeReplicator struct {
	put        []state.Endpoint
	replicated []state.Endpoint
	checked    []string       // ID and address of each successor check
	targets    quorum.Targets // of the newest replication
	failures   int
	down       map[string]bool // members that aren't live, by address
}

func (f *fakeReplicator) Put(e state.Endpoint) { f.put = append(f.put, e) }

func (f *fakeReplicator) PutReplicated(ctx context.Context, e state.Endpoint, targets quorum.Targets) error {
	f.targets = targets
	f.replicated = append(f.replicated, e)
	if f.failures > 0 {
		f.failures--
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (f *fakeReplicator) CheckSuccessor(id string, heartbeat endpoints.Heartbeat) {
	f.checked = append(f.checked, id+" at "+heartbeat.Address)
}

func (f *fakeReplicator) isLive(address string) bool { return !f.down[address] }

// fakeVoters holds the addresses of the voters.
type fakeVoters []string

func (f fakeVoters) Voters() (set state.ReplicaSet) {
	for _, address := range f {
		set.Replicas = append(set.Replicas, state.Replica{ID: address, Address: address})
	}
	return set
}

// fixture holds the handler of a control address with a fake register and replicator and a real table of endpoints.
type fixture struct {
	register   *fakeRegister
	replicator *fakeReplicator
	voters     *fakeVoters
	table      *endpoints.SharedTable
	handler    http.Handler
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{
		register:   &fakeRegister{},
		replicator: &fakeReplicator{down: map[string]bool{}},
		voters:     &fakeVoters{"core-1", "core-2", "core-3"},
	}
	f.table = endpoints.Start(endpoints.Options{Self: "core-1", HeartbeatInterval: time.Second}, time.Now)
	t.Cleanup(f.table.Stop)
	log := zerolog.Nop()
	f.handler = New(Options{
		Register:   f.register,
		Endpoints:  f.table,
		Replicator: f.replicator,
		Quorum:     &quorum.Checker{Voters: f.voters, Self: "core-1", IsLive: f.replicator.isLive},
		Regions:    map[string]string{"z1": "r1"},
		ForwardTo:  func(_, zone string) string { return zone + ":1" },
		Log:        &log,
	})
	return f
}

// call sends a request; headers have the form "Name: value".
func (f *fixture) call(method, path, body string, headers ...string) *httptest.ResponseRecorder {
	return f.callWith(context.Background(), method, path, body, headers...)
}

func (f *fixture) callWith(ctx context.Context, method, path, body string, headers ...string) *httptest.ResponseRecorder {
	request := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	for _, header := range headers {
		name, value, _ := strings.Cut(header, ": ")
		request.Header.Set(name, value)
	}
	recorder := httptest.NewRecorder()
	f.handler.ServeHTTP(recorder, request)
	return recorder
}
