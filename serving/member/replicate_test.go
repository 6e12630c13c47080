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

// fault is what a fake member does with a push.
type fault int

const (
	acknowledges fault = iota
	fails
	hangs
)

// fakeMembers are members that only take pushes.
type fakeMembers struct{ mesh *Service }

// newFakeMembers makes a mesh that knows one core member for each fault. Their ranks are drawn.
func newFakeMembers(t *testing.T, faults ...fault) *fakeMembers {
	t.Helper()
	log := zerolog.Nop()
	client := rpc.NewClient()
	options := Options{Settings: &settings.Process{IP: "127.0.0.1", FirstPort: 1}, Client: client, Log: &log,
		Self: state.Member{Name: "self", Role: state.RoleAgent, Zone: "z", Region: "r"}, Mux: http.NewServeMux()}
	mesh, err := Start(context.Background(), options)
	require.NoError(t, err)
	fakes := &fakeMembers{mesh: mesh}
	for i, kind := range faults {
		server := httptest.NewServer(servePushes(kind))
		t.Cleanup(server.Close)
		member := state.Member{Name: fmt.Sprintf("fake%d", i), Incarnation: 1, Role: state.RoleCore, Zone: "z",
			Region: "r", Address: strings.TrimPrefix(server.URL, "http://")}
		query(mesh, func(now time.Time, n *node) bool { return n.members.MergeMember(now, member) })
	}
	t.Cleanup(func() {
		mesh.Close()
		client.Close()
	})
	return fakes
}

// servePushes answers pushes.
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

// TestReplicationGetsRoundEachFault puts each fault at each of four members in turn, and at two at a time.
func TestReplicationGetsRoundEachFault(t *testing.T) {
	for _, kind := range []fault{fails, hangs} {
		for first := range 4 {
			for second := first; second < 4; second++ {
				t.Run(fmt.Sprintf("fault %d at %d and %d", kind, first, second), func(t *testing.T) {
					faults := make([]fault, 4)
					faults[first], faults[second] = kind, kind
					fakes := newFakeMembers(t, faults...)
					ctx, cancel := context.WithTimeout(context.Background(), testLimit)
					defer cancel()
					require.NoError(t, fakes.mesh.PutReplicated(ctx, replicated, nil, 2))
				})
			}
		}
	}
}

func TestReplicationTellsWhenTooFewAcknowledge(t *testing.T) {
	fakes := newFakeMembers(t, acknowledges, fails, fails)
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	assert.True(t, errcode.NotAcknowledged.Is(fakes.mesh.PutReplicated(ctx, replicated, nil, 2)))
	assert.True(t, errcode.TooFewMembers.Is(fakes.mesh.PutReplicated(ctx, replicated, nil, 4)))
	_, found := fakes.mesh.Get(gossip.TableEndpoints, "e")
	assert.True(t, found, "it is spread all the same")
}

// Copies count at the members that were named alone.
func TestReplicationAsksTheNamedMembers(t *testing.T) {
	fakes := newFakeMembers(t, acknowledges, fails, acknowledges)
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	addresses := map[string]string{}
	for _, member := range fakes.mesh.Members() {
		addresses[member.Name] = member.Address
	}
	var others []string
	for name, address := range addresses {
		if name != fakes.mesh.Self().Name {
			others = append(others, address)
		}
	}
	require.Len(t, others, 3)
	require.NoError(t, fakes.mesh.PutReplicated(ctx, replicated, others, 2))
	for _, address := range others {
		only := []string{address}
		assert.True(t, errcode.TooFewMembers.Is(fakes.mesh.PutReplicated(ctx, replicated, only, 2)))
	}
	assert.True(t, errcode.TooFewMembers.Is(fakes.mesh.PutReplicated(ctx, replicated, []string{"elsewhere:1"}, 1)))
}

func TestReplicationEndsWithItsContext(t *testing.T) {
	fakes := newFakeMembers(t, hangs, hangs)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.True(t, errcode.NotAcknowledged.Is(fakes.mesh.PutReplicated(ctx, replicated, nil, 1)))
}

func TestNothingHangsAfterClose(t *testing.T) {
	fakes := newFakeMembers(t, acknowledges)
	fakes.mesh.Close()
	fakes.mesh.Put(replicated)
	assert.Empty(t, fakes.mesh.Members())
	_, found := fakes.mesh.Get(gossip.TableEndpoints, "e")
	assert.False(t, found)
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	assert.Error(t, fakes.mesh.PutReplicated(ctx, replicated, nil, 1))
}
