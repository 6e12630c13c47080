package register

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/actor"
	"rowanlink/serving/state"
)

// script is a world without machines: replicas as bare states, and proposers whose single tries reach chosen
// replicas only.
type script struct {
	mutex     sync.Mutex // of replicas, while a try runs
	replicas  map[string]*AcceptorState
	order     []string
	proposers map[string]*learnedState
	changes   map[string]*change // by proposer and name: a name used again is another try of the same change
}

// reach is a transport on which each kind of call reaches the named replicas only.
type reach struct {
	script                 *script
	prepare, accept, query []string
}

var _ Transport = (*reach)(nil)

func (r *reach) Prepare(ctx context.Context, to string, request *PrepareRequest) (*Vote, error) {
	return r.vote(ctx, to, r.prepare, func(s AcceptorState) transition { return s.prepare(request) })
}

func (r *reach) Accept(ctx context.Context, to string, request *AcceptRequest) (*Vote, error) {
	return r.vote(ctx, to, r.accept, func(s AcceptorState) transition { return s.accept(request) })
}

func (r *reach) Query(ctx context.Context, to string, request *QueryRequest) (*Vote, error) {
	return r.vote(ctx, to, r.query, func(s AcceptorState) transition { return transition{vote: s.query(request)} })
}

func (r *reach) Describe(context.Context, string, *DescribeRequest) (*Description, error) {
	return nil, errSilence
}

// vote lets the silent ones be silent for as long as a call lasts, so that all answers come before.
func (r *reach) vote(ctx context.Context, to string, reached []string, decision func(AcceptorState) transition) (*Vote, error) {
	if !slices.Contains(reached, to) {
		return hang[Vote](ctx)
	}
	r.script.mutex.Lock()
	defer r.script.mutex.Unlock()
	made := decision(*r.script.replicas[to])
	if made.save {
		r.script.replicas[to] = &made.next
	}
	return copied(&made.vote), nil
}

func replicasNamed(names []string) (all []state.Replica) {
	for _, name := range names {
		all = append(all, state.Replica{ID: name, Address: name[:1]})
	}
	return all
}

func argument(data *datadriven.TestData, key string) []string {
	for _, given := range data.CmdArgs {
		if given.Key == key {
			return given.Vals
		}
	}
	return nil
}

func word(data *datadriven.TestData, key string) string {
	return strings.Join(argument(data, key), ",")
}

// run carries out one command and prints what came of it and what the replicas hold.
func (s *script) run(t *testing.T, data *datadriven.TestData) (printed string) {
	switch data.Cmd {
	case "genesis":
		s.genesis(argument(data, "replicas"))
	case "wipe":
		id := word(data, "replica")
		s.replicas[id[:1]] = &AcceptorState{ReplicaID: word(data, "as")}
	case "new":
		id := word(data, "replica")
		s.replicas[id[:1]] = &AcceptorState{ReplicaID: id}
		s.order = append(s.order, id[:1])
	case "try", "read":
		synctest.Test(t, func(t *testing.T) { printed = s.propose(t, data) })
	default:
		t.Fatalf("unknown command %s", data.Cmd)
	}
	return printed + s.show()
}

func (s *script) genesis(names []string) {
	set := state.ReplicaSet{Replicas: replicasNamed(names)}
	for _, name := range names {
		s.replicas[name] = &AcceptorState{ReplicaID: name, Proposal: Proposal{Record: state.Record{Voters: set}}}
		s.order = append(s.order, name)
	}
}

// propose makes one try or read of a proposer that goes by what it has learned, or by the first set.
func (s *script) propose(t *testing.T, data *datadriven.TestData) string {
	id := word(data, "by")
	if s.proposers[id] == nil {
		s.proposers[id] = &learnedState{committedVoters: state.ReplicaSet{Replicas: replicasNamed(argument(data, "knows"))}}
	}
	life, stop := context.WithCancel(context.Background())
	defer stop()
	reached := &reach{script: s, prepare: argument(data, "prepare"), accept: argument(data, "accept"),
		query: argument(data, "query")}
	p := newProposer(life, id, reached, &commitNotifier{}, func() {})
	defer p.close()
	p.learned.Send(func(k *learnedState) { *k = *s.proposers[id] })
	defer func() {
		known, _ := actor.Call(p.learned, func(k *learnedState) learnedState { return *k })
		s.proposers[id] = &known
	}()
	if data.Cmd == "read" {
		return s.query(t, p)
	}
	result := p.runAttempt(life, s.change(t, id, data))
	synctest.Wait()
	if result.outcome == attemptFinishedOther {
		return "advanced\n"
	}
	outcome := [...]string{"decided", "failed"}[result.outcome]
	return fmt.Sprintf("%s%s\n", outcome, printedResult(&result.record, result.err))
}

func (s *script) query(t *testing.T, p *Proposer) string {
	votes, err := p.query(p.lifetime, callTimeout)
	synctest.Wait()
	if err != nil {
		return fmt.Sprintf("error: %v\n", err)
	}
	require.True(t, votes.hasQuorum())
	return fmt.Sprintf("committed=%v revision=%d\n", votes.isCommitted(), votes.highestAccepted.Proposal.Record.Revision)
}

func (s *script) change(t *testing.T, proposer string, data *datadriven.TestData) *change {
	name := word(data, "change")
	key := proposer + "/" + name
	if s.changes[key] == nil {
		s.changes[key] = &change{id: ChangeID{Proposer: proposer, Sequence: uint64(len(s.changes) + 1)}}
	}
	s.changes[key].update = scriptedUpdate(t, argument(data, "update"))
	return s.changes[key]
}

func scriptedUpdate(t *testing.T, words []string) Update {
	if len(words) == 0 {
		return confirmOnly
	}
	number := func(position int) (n uint64) {
		_, err := fmt.Sscan(words[position], &n)
		require.NoError(t, err)
		return n
	}
	switch words[0] {
	case "configure": // on what, which version, which document
		return ReplaceConfiguration(number(1), state.Configuration{Version: number(2), Digest: state.DigestOf([]byte(words[3]))})
	case "evacuate":
		return SetEvacuation(words[1], true)
	case "return":
		return SetEvacuation(words[1], false)
	case "add":
		return AddReplica(replicasNamed(words[1:2])[0])
	case "remove":
		return RemoveReplica(words[1])
	case "replace":
		return ReplaceReplica(words[1], replicasNamed(words[2:3])[0])
	}
	t.Fatalf("unknown update %v", words)
	return nil
}

func printedResult(record *state.Record, err error) string {
	if err != nil {
		return fmt.Sprintf(": %v", err)
	}
	return " " + printedRecord(record)
}

func printedRecord(record *state.Record) string {
	var members, zones []string
	for _, replica := range record.Voters.Replicas {
		members = append(members, replica.ID)
	}
	for _, evacuation := range record.Evacuations {
		if evacuation.Active {
			zones = append(zones, evacuation.Zone)
		}
	}
	return fmt.Sprintf("revision=%d version=%d evacuated=%v epoch=%d members=%v", record.Revision,
		record.Configuration.Version, zones, record.Voters.Epoch, members)
}

// show prints what the replicas hold.
func (s *script) show() string {
	var lines strings.Builder
	for _, name := range s.order {
		held := s.replicas[name]
		former := ""
		if held.Proposal.isJoint() {
			former = " pending"
		}
		fmt.Fprintf(&lines, "%s promised=%d%s accepted=%d%s %s%s\n", held.ReplicaID, held.Promised.Number,
			held.Promised.Proposer, held.Accepted.Number, held.Accepted.Proposer, printedRecord(&held.Proposal.Record), former)
	}
	return lines.String()
}

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		s := &script{replicas: map[string]*AcceptorState{}, proposers: map[string]*learnedState{}, changes: map[string]*change{}}
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string { return s.run(t, data) })
	})
}
