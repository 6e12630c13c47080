package core

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"rowanlink/serving/delivery"
	"rowanlink/serving/gossip"
	"rowanlink/serving/register"
	"rowanlink/serving/state"
)

// slowRegister is a register that takes the time commit for each change and returns err.
type slowRegister struct {
	commit time.Duration
	err    error
}

func (r slowRegister) Change(context.Context, register.Update) (state.Record, error) {
	time.Sleep(r.commit)
	return state.Record{Revision: 7}, r.err
}

func (r slowRegister) Read(context.Context) (state.Record, error) { return state.Record{}, r.err }

// fakeAgents implements delivery.Members with two agents. The function delivers entries to an agent.
type fakeAgents func(ctx context.Context, address string, entries []gossip.Entry) error

func (fakeAgents) Members() []state.Member {
	return []state.Member{{Address: "a", Role: state.RoleAgent}, {Address: "b", Role: state.RoleAgent}}
}

func (fakeAgents) DownMembers() []state.Member { return nil }

func (f fakeAgents) PushApplied(ctx context.Context, address string, entries []gossip.Entry) error {
	return f(ctx, address, entries)
}

// TestAppliedRegister_WaitsForProxies guards against an acknowledgement of a change that only core members have: if
// they stop then, the proxies don't get it. The wait for the proxies mustn't exceed the second that an operator waits.
func TestAppliedRegister_WaitsForProxies(t *testing.T) {
	const applyTime = 50 * time.Millisecond
	for _, test := range []struct {
		name         string
		register     slowRegister
		suspended    bool
		first, later time.Duration
	}{
		{"all apply it", slowRegister{commit: 10 * time.Millisecond}, false, 60 * time.Millisecond, 60 * time.Millisecond},
		{"one is suspended", slowRegister{commit: 10 * time.Millisecond}, true,
			10*time.Millisecond + delivery.AgentTimeout, 60 * time.Millisecond},
		{"slow commit", slowRegister{commit: 700 * time.Millisecond}, true, 700 * time.Millisecond, 700 * time.Millisecond},
		{"not committed", slowRegister{err: errors.New("no majority")}, true, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				agents := fakeAgents(func(ctx context.Context, address string, entries []gossip.Entry) error {
					assert.Equal(t, []gossip.Entry{{Table: gossip.TableRecord, Key: gossip.RecordKey,
						Version: gossip.NewVersion(7, 0)}}, entries)
					if test.suspended && address == "b" {
						<-ctx.Done()
						return ctx.Err()
					}
					time.Sleep(applyTime)
					return nil
				})
				log := zerolog.Nop()
				r := &appliedRegister{ReplicatedRegister: test.register, log: &log, agents: delivery.NewAgentNotifier(agents)}
				time.Sleep(delivery.JoinTime)
				for _, expected := range []time.Duration{test.first, test.later} {
					begun := time.Now()
					_, err := r.Change(t.Context(), nil)
					assert.Equal(t, test.register.err, err)
					assert.Equal(t, expected, time.Since(begun))
					time.Sleep(time.Second) // the calls to the agents end meanwhile
				}
			})
		})
	}
}
