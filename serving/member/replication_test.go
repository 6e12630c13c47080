package member

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/errcode"
	"rowanlink/serving/gossip"
	"rowanlink/serving/rpc"
	"rowanlink/serving/settings"
	"rowanlink/serving/state"
)

// fault is how a fake member responds to a push.
type fault int

const (
	acknowledges fault = iota
	fails
	hangs
)

// fakeMembers is a service whose other members are fakes, which serve only pushes.
type fakeMembers struct{ service *Service }

// newFakeMembers starts a service that knows one fake core member for each fault, and calls them in a random order.
func newFakeMembers(t *testing.T, faults ...fault) *fakeMembers {
	t.Helper()
	log := zerolog.Nop()
	client := rpc.NewClient()
	options := Options{Settings: &settings.Process{IP: "127.0.0.1", FirstPort: 1}, Client: client, Log: &log,
		Self: state.Member{Name: "self", Role: state.RoleAgent, Zone: "z", Region: "r"}, Mux: http.NewServeMux()}
	service, err := Start(context.Background(), options)
	require.NoError(t, err)
	fakes := &fakeMembers{service: service}
	for i, kind := range faults {
		server := httptest.NewServer(servePushes(kind))
		t.Cleanup(server.Close)
		member := state.Member{Name: fmt.Sprintf("fake%d", i), Incarnation: 1, Role: state.RoleCore, Zone: "z",
			Region: "r", Address: strings.TrimPrefix(server.URL, "http://")}
		query(service, func(now time.Time, n *node) bool { return n.members.MergeMember(now, member) })
	}
	t.Cleanup(func() {
		service.Close()
		client.Close()
	})
	return fakes
}

// servePushes returns a handler that responds to pushes as the fault says.
func servePushes(kind fault) http.Handler {
	mux := http.NewServeMux()
	pushMethod.Serve(mux, func(ctx context.Context, _ *gossip.Message) (*pushResponse, error) {
		switch kind {
		case fails:
			return nil, errors.New("fault")
		case hangs:
			<-ctx.Done()
			return nil, ctx.Err()
		default:
			return &pushResponse{}, nil
		}
	})
	return mux
}

var replicated = gossip.Entry{Table: gossip.TableEndpoints, Key: "e", Version: gossip.NewVersion(1, 0)}

// TestPutReplicated_WithFaultyMembers injects each fault into each of four members, and into each pair of them. The other
// two or three members can still acknowledge two copies.
func TestPutReplicated_WithFaultyMembers(t *testing.T) {
	for _, kind := range []fault{fails, hangs} {
		for first := range 4 {
			for second := first; second < 4; second++ {
				t.Run(fmt.Sprintf("fault %d at %d and %d", kind, first, second), func(t *testing.T) {
					faults := make([]fault, 4)
					faults[first], faults[second] = kind, kind
					fakes := newFakeMembers(t, faults...)
					ctx, cancel := context.WithTimeout(context.Background(), testLimit)
					defer cancel()
					require.NoError(t, fakes.service.PutReplicated(ctx, replicated, 2))
				})
			}
		}
	}
}

func TestPutReplicated_TooFewAcknowledgements(t *testing.T) {
	fakes := newFakeMembers(t, acknowledges, fails, fails)
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	assert.True(t, errcode.NotAcknowledged.Is(fakes.service.PutReplicated(ctx, replicated, 2)))
	assert.True(t, errcode.TooFewMembers.Is(fakes.service.PutReplicated(ctx, replicated, 4)))
	_, found := fakes.service.Get(gossip.TableEndpoints, "e")
	assert.True(t, found, "the entry is gossiped even if too few members acknowledge it")
}

func TestPutReplicated_EndsWithContext(t *testing.T) {
	fakes := newFakeMembers(t, hangs, hangs)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.True(t, errcode.NotAcknowledged.Is(fakes.service.PutReplicated(ctx, replicated, 1)))
}

func TestService_DoesNotBlockAfterClose(t *testing.T) {
	fakes := newFakeMembers(t, acknowledges)
	fakes.service.Close()
	fakes.service.Put(replicated)
	assert.Empty(t, fakes.service.Members())
	_, found := fakes.service.Get(gossip.TableEndpoints, "e")
	assert.False(t, found)
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	assert.Error(t, fakes.service.PutReplicated(ctx, replicated, 1))
}

// TestPushDurable_NeedsTheReceiversDisk guards against a member that acknowledges a durable push when the entries are only
// in memory.
func TestPushDurable_NeedsTheReceiversDisk(t *testing.T) {
	sender, receiver := newFakeMembers(t).service, newFakeMembers(t).service
	server := httptest.NewServer(receiver.options.Mux)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	entries := []gossip.Entry{replicated}
	assert.Error(t, sender.PushDurable(t.Context(), address, entries), "the receiver has no Persister yet")
	var persisted []gossip.Entry
	diskError := errors.New("disk is full")
	receiver.SetPersister(func(_ context.Context, entries []gossip.Entry) error {
		persisted = append(persisted, entries...)
		return diskError
	})
	assert.Error(t, sender.PushDurable(t.Context(), address, entries), "the receiver's disk fails")
	diskError = nil
	require.NoError(t, sender.PushDurable(t.Context(), address, entries))
	assert.Len(t, persisted, 2)
	_, found := receiver.Get(gossip.TableEndpoints, replicated.Key)
	assert.True(t, found, "the receiver has stored the entry for gossip")
}
