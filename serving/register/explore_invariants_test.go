package register

import (
	"fmt"
	"math/bits"
	"slices"

	"rowanlink/serving/state"
)

// exploredIDs are the IDs of all replicas.
var exploredIDs = []string{"r1", "r2", "r3", "r4", "r5"}

// exploredRevisions is above all revisions that are reached.
const exploredRevisions = 12

// exploredZone is the zone that the scripts evacuate.
const exploredZone = "z"

// observeCommitted checks a proposal that some proposer has found to be committed: there must be one record for each
// revision, and it must include the changes acknowledged before.
func (w *exploredState) observeCommitted(proposal *Proposal) {
	record := &proposal.Record
	found := committedRecord{revision: record.Revision, version: record.Configuration.Version, epoch: record.Voters.Epoch}
	if known, ok := w.committed[found.revision]; ok && known != found {
		w.fail("two records of revision %d: %v and %v", found.revision, known, found)
	}
	w.committed[found.revision] = found
	w.checkAcknowledged(record, false)
}

// checkAcknowledged checks that a record includes all changes that were acknowledged at revisions up to its own. If
// readNow is set, the record was read in the present state, and must include all acknowledged changes.
func (w *exploredState) checkAcknowledged(record *state.Record, readNow bool) {
	for index, acknowledged := range w.acknowledged {
		required := readNow || record.Revision >= w.acknowledgedAt[index]
		if required && !record.WasApplied(acknowledged.configuration.Version, state.Digest{}) {
			w.fail("version %d was acknowledged but is not in revision %d", acknowledged.configuration.Version, record.Revision)
		}
	}
}

// acknowledge records that a change of the configuration was acknowledged, and checks that no other change on the same
// base was, and that the record includes all acknowledged changes.
func (w *exploredState) acknowledge(p *exploredProposer, proposal *Proposal) {
	update := sentUpdateOf(p.change.update)
	if update.configuration.Version == 0 {
		return
	}
	for _, other := range w.acknowledged {
		if other.basedOn == update.basedOn && other.configuration.Version != update.configuration.Version {
			w.fail("versions %d and %d were acknowledged on base %d", other.configuration.Version,
				update.configuration.Version, update.basedOn)
		}
	}
	w.acknowledged = append(w.acknowledged, update)
	w.acknowledgedAt = append(w.acknowledgedAt, proposal.Record.Revision)
	w.checkAcknowledged(&proposal.Record, false)
}

// sentUpdateOf returns the base and the configuration of an update, found by applying it to the possible bases. It
// returns the zero value for updates that change no configuration.
func sentUpdateOf(update Update) sentUpdate {
	for _, base := range []uint64{0, 1, 2} {
		record := state.Record{Configuration: state.Configuration{Version: base}}
		if next, err := update(record); err == nil && next.Configuration.Version != base {
			return sentUpdate{basedOn: base, configuration: next.Configuration}
		}
	}
	return sentUpdate{}
}

// checkReads checks the result of a read from each majority of a set, by a reader that knows this set to be committed.
func (w *exploredState) checkReads(voters state.ReplicaSet) {
	for mask := range 1 << len(exploredIDs) {
		if bits.OnesCount(uint(mask)) < voters.Quorum() {
			continue
		}
		votes := newPrepareTally(voters, AcceptedProposal{})
		for index, id := range exploredIDs {
			own := w.replicas[id]
			if mask&(1<<index) == 0 || own.ReplicaID == "" {
				continue
			}
			vote := own.query(&QueryRequest{ReplicaID: id})
			votes.add(id, &vote)
		}
		if w.evacuationEnded && votes.hasQuorum() && votes.highestAccepted.Proposal.Record.Evacuated(exploredZone) {
			w.fail("the evacuation is active again after its end was acknowledged")
		}
		empty := votes.highestAccepted.Ballot.IsZero() && voters.Epoch > 0
		if votes.hasQuorum() && votes.isCommitted() && !votes.highestAccepted.Proposal.isJoint() && !empty {
			w.observeCommitted(&votes.highestAccepted.Proposal)
			w.checkAcknowledged(&votes.highestAccepted.Proposal.Record, true)
		}
	}
}

// checkAllReads checks the reads by all sets that a reader may know to be committed.
func (w *exploredState) checkAllReads() {
	highestEpoch := uint64(0)
	w.checkReads(exploredGenesis())
	for index := range w.proposers {
		if set := w.proposers[index].known.committedVoters; set.Epoch > highestEpoch {
			highestEpoch = set.Epoch
			w.checkReads(set)
		}
	}
}

// key returns a string that is equal for equivalent states. All numbers in a state are below 256. Replicas that the
// scenario doesn't distinguish are interchangeable.
func (w *exploredState) key(s *scenario) string {
	text := make([]byte, 0, 256)
	interchangeable := make([]string, 0, len(exploredIDs))
	for _, id := range exploredIDs {
		encoded := string(w.replicaKey(id))
		if slices.Contains(s.distinguished, id) {
			text = append(append(text, encoded...), '/')
		} else {
			interchangeable = append(interchangeable, encoded)
		}
	}
	slices.Sort(interchangeable)
	for _, encoded := range interchangeable {
		text = append(append(text, encoded...), '/')
	}
	for index := range w.proposers {
		text = append(text, w.proposers[index].key(w)...)
	}
	names := make([]string, len(w.rounds))
	for index := range w.rounds {
		names[index] = w.rounds[index].name
	}
	slices.Sort(names)
	for _, name := range names {
		text = append(append(text, name...), '.')
	}
	for revision := range uint64(exploredRevisions) {
		if found, ok := w.committed[revision]; ok {
			text = append(text, 'c', byte(revision), byte(found.version), byte(found.epoch))
		}
	}
	for _, update := range w.acknowledged {
		text = append(text, 'a', byte(update.configuration.Version))
	}
	if w.diskLost {
		text = append(text, 'w')
	}
	if w.evacuationEnded {
		text = append(text, 'e')
	}
	if w.departed {
		text = append(text, 'g')
	}
	if w.voterReplaced {
		text = append(text, 's')
	}
	return string(text)
}

// ballotKey encodes a ballot of proposer A or B; 0 is the zero ballot.
func ballotKey(b Ballot) byte {
	if b.IsZero() {
		return 0
	}
	return byte(b.Number)*4 + b.Proposer[0] - 'A' + 1
}

// replicaKey encodes a replica's state and its votes in the current rounds.
func (w *exploredState) replicaKey(id string) []byte {
	own := w.replicas[id]
	text := []byte{byte(len(own.ReplicaID)), ballotKey(own.Promised), ballotKey(own.Accepted)}
	for index := range w.proposers {
		if vote, ok := w.proposers[index].granted[id]; ok && !w.proposers[index].finished {
			text = append(text, byte(index), ballotKey(vote.Accepted))
		}
	}
	return text
}

// key encodes a proposer's state.
func (p *exploredProposer) key(w *exploredState) []byte {
	if p.finished {
		return []byte{'-'}
	}
	text := []byte{
		byte(p.scriptPosition),
		byte(p.change.attempts),
		byte(p.change.highestRevision),
		byte(p.outcomeOnAccept),
		byte(p.known.highestBallotNumber),
		byte(p.known.committedVoters.Epoch),
		ballotKey(p.known.highestAccepted.Ballot),
	}
	if p.round >= 0 {
		text = append(text, w.rounds[p.round].name...)
	}
	if p.rejected {
		text = append(text, 'r')
	}
	return text
}

// nameOf returns a name that identifies a round.
func nameOf(r *exploredRound) string {
	if !r.accepting {
		return string([]byte{
			'P',
			ballotKey(r.ballot),
			ballotKey(r.known.highestAccepted.Ballot),
			byte(r.known.committedVoters.Epoch),
		})
	}
	p := &r.proposal
	text := []byte{
		'A',
		ballotKey(r.ballot),
		byte(p.Record.Revision),
		byte(p.Record.Configuration.Version),
		byte(p.Record.Voters.Epoch),
		byte(len(p.OutgoingVoters.Replicas)),
	}
	for _, change := range p.Changes {
		text = append(text, change.Proposer[0], byte(change.Sequence))
	}
	return string(text)
}

// fail records a violation, if it is the first one.
func (w *exploredState) fail(format string, arguments ...any) {
	if w.problem == "" {
		w.problem = fmt.Sprintf(format, arguments...)
	}
}
