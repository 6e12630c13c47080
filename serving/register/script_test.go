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

// scriptedRegister is a register without nodes: the replicas are plain acceptor states, and the proposers make single
// attempts whose calls reach chosen replicas only.
type scriptedRegister struct {
	mutex     sync.Mutex // guards replicas while an attempt runs
	replicas  map[string]*AcceptorState
	order     []string
	proposers map[string]*learnedState
	changes   map[string]*change // by proposer and name: a repeated name is another attempt of the same change
}

// partialTransport is a transport whose calls reach the named replicas only.
type partialTransport struct {
	script                 *scriptedRegister
	prepare, accept, query []string
}

var _ Transport = (*partialTransport)(nil)

func (r *partialTransport) Prepare(ctx context.Context, to string, request *PrepareRequest) (*Vote, error) {
	return r.apply(ctx, to, r.prepare, func(s AcceptorState) transition { return s.prepare(request) })
}

func (r *partialTransport) Accept(ctx context.Context, to string, request *AcceptRequest) (*Vote, error) {
	return r.apply(ctx, to, r.accept, func(s AcceptorState) transition { return s.accept(request) })
}

func (r *partialTransport) Query(ctx context.Context, to string, request *QueryRequest) (*Vote, error) {
	return r.apply(ctx, to, r.query, func(s AcceptorState) transition { return transition{vote: s.query(request)} })
}

func (r *partialTransport) Describe(context.Context, string, *DescribeRequest) (*Description, error) {
	return nil, errNoAnswer
}

// apply applies a transition to a replica that the call reaches. All other calls time out, after all answers.
func (r *partialTransport) apply(
	ctx context.Context, to string, reached []string, step func(AcceptorState) transition,
) (*Vote, error) {
	if !slices.Contains(reached, to) {
		return nil, awaitTimeout(ctx)
	}
	r.script.mutex.Lock()
	defer r.script.mutex.Unlock()
	result := step(*r.script.replicas[to])
	if result.save {
		r.script.replicas[to] = &result.next
	}
	return reencode(&result.vote), nil
}

// replicasNamed returns replicas with the given IDs; the first letter of the ID is the address.
func replicasNamed(names []string) (all []state.Replica) {
	for _, name := range names {
		all = append(all, state.Replica{ID: name, Address: name[:1]})
	}
	return all
}

// argument returns the values of a command's argument.
func argument(data *datadriven.TestData, key string) []string {
	for _, given := range data.CmdArgs {
		if given.Key == key {
			return given.Vals
		}
	}
	return nil
}

// word returns the values of a command's argument, joined by commas.
func word(data *datadriven.TestData, key string) string {
	return strings.Join(argument(data, key), ",")
}

// run executes one command and prints its result and the state of the replicas.
func (s *scriptedRegister) run(t *testing.T, data *datadriven.TestData) (printed string) {
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
	case "attempt", "read":
		synctest.Test(t, func(t *testing.T) { printed = s.propose(t, data) })
	default:
		t.Fatalf("unknown command %s", data.Cmd)
	}
	return printed + s.show()
}

func (s *scriptedRegister) genesis(names []string) {
	set := state.ReplicaSet{Replicas: replicasNamed(names)}
	for _, name := range names {
		s.replicas[name] = &AcceptorState{ReplicaID: name, Proposal: Proposal{Record: state.Record{Voters: set}}}
		s.order = append(s.order, name)
	}
}

// propose makes one attempt or read of a proposer, which knows what it has learned before or, at first, the voters that
// the command names.
func (s *scriptedRegister) propose(t *testing.T, data *datadriven.TestData) string {
	id := word(data, "by")
	if s.proposers[id] == nil {
		s.proposers[id] = &learnedState{committedVoters: state.ReplicaSet{Replicas: replicasNamed(argument(data, "knows"))}}
	}
	lifetime, stop := context.WithCancel(context.Background())
	defer stop()
	reached := &partialTransport{
		script:  s,
		prepare: argument(data, "prepare"),
		accept:  argument(data, "accept"),
		query:   argument(data, "query"),
	}
	p := newProposer(lifetime, id, reached, &commitNotifier{}, func() {})
	defer p.close()
	p.learned.Send(func(l *learnedState) { *l = *s.proposers[id] })
	defer func() {
		learned, _ := actor.Call(p.learned, func(l *learnedState) learnedState { return *l })
		s.proposers[id] = &learned
	}()
	if data.Cmd == "read" {
		return s.query(t, p)
	}
	result := p.runAttempt(lifetime, s.change(t, id, data))
	synctest.Wait()
	if result.outcome == attemptFinishedReconfiguration {
		return "advanced\n"
	}
	outcome := [...]string{"decided", "failed"}[result.outcome]
	return fmt.Sprintf("%s%s\n", outcome, printedResult(&result.record, result.err))
}

func (s *scriptedRegister) query(t *testing.T, p *Proposer) string {
	votes, err := p.query(p.lifetime, callTimeout)
	synctest.Wait()
	if err != nil {
		return fmt.Sprintf("error: %v\n", err)
	}
	require.True(t, votes.hasQuorum())
	return fmt.Sprintf("committed=%v revision=%d\n", votes.isCommitted(), votes.highestAccepted.Proposal.Record.Revision)
}

func (s *scriptedRegister) change(t *testing.T, proposer string, data *datadriven.TestData) *change {
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
	case "configure": // base version, new version, document
		digest := state.DigestOf([]byte(words[3]))
		return ReplaceConfiguration(number(1), state.Configuration{Version: number(2), Digest: digest})
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

// show prints the states of the replicas.
func (s *scriptedRegister) show() string {
	var lines strings.Builder
	for _, name := range s.order {
		replica := s.replicas[name]
		pending := ""
		if replica.Proposal.isJoint() {
			pending = " pending"
		}
		fmt.Fprintf(&lines, "%s promised=%d%s accepted=%d%s %s%s\n",
			replica.ReplicaID,
			replica.Promised.Number, replica.Promised.Proposer,
			replica.Accepted.Number, replica.Accepted.Proposer,
			printedRecord(&replica.Proposal.Record), pending)
	}
	return lines.String()
}

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		s := &scriptedRegister{
			replicas:  map[string]*AcceptorState{},
			proposers: map[string]*learnedState{},
			changes:   map[string]*change{},
		}
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string { return s.run(t, data) })
	})
}
