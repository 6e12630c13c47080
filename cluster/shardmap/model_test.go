package shardmap

import (
	"cmp"
	"slices"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// The model that the state-space search explores consists of members with their custody tables and journals, one range
// with its map and lease in the log, and messages between members. The code under test makes every decision. The model
// around it does what a member does, one durable write at a time, so that a crash can happen between any two.
const (
	maxMembers  = 3
	maxWebhooks = 2
	maxMessages = 4
	maxSteps    = 5

	// The deduplication window and the webhook's TTL; the clock advances 0, 1, 2.
	window, ttl api.Micros = 1, 2
)

var memberIDs = [maxMembers]cluster.MemberID{"a", "b", "c"}

func memberIndex(id cluster.MemberID) int8 { return int8(slices.Index(memberIDs[:], id)) }

func webhookID(webhook int8) WebhookID {
	return WebhookID{Origin: memberIDs[0], Incarnation: 1, LocalID: uint64(webhook) + 1}
}

// modelRecord is a CustodyRecord as a small comparable value. to is the index of a member plus 1, or 0 for none.
type modelRecord struct {
	handoff, rejectedUpTo               HandoffNumber
	known, present, arriving, uncertain bool
	to                                  int8
	incarnation, epoch, move, sentAt    uint8
}

func modelRecordOf(r CustodyRecord, known bool) modelRecord {
	if !known {
		return modelRecord{}
	}
	return modelRecord{
		handoff:      r.Handoff,
		rejectedUpTo: r.RejectedUpTo,
		known:        true,
		present:      r.Present,
		arriving:     r.Arriving,
		uncertain:    r.Offer.Uncertain,
		to:           memberIndex(r.Offer.To) + 1,
		incarnation:  uint8(r.Offer.Incarnation),
		epoch:        uint8(r.Offer.Epoch),
		move:         uint8(r.Offer.Move),
		sentAt:       uint8(r.Offer.SentAt),
	}
}

func (e modelRecord) record(id WebhookID) CustodyRecord {
	r := CustodyRecord{
		ID:           id,
		Handoff:      e.handoff,
		RejectedUpTo: e.rejectedUpTo,
		Present:      e.present,
		Arriving:     e.arriving,
		Deadline:     ttl,
	}
	if e.to > 0 {
		r.Offer = Offer{
			To:          memberIDs[e.to-1],
			Incarnation: uint64(e.incarnation),
			Move:        MoveID(e.move),
			Range:       1,
			Epoch:       cluster.Epoch(e.epoch),
			SentAt:      api.Micros(e.sentAt),
			Uncertain:   e.uncertain,
		}
	}
	return r
}

// withTable calls do with a table that contains only this record, and then copies the record back from the table.
func (e *modelRecord) withTable(webhook int8, do func(*CustodyTable, WebhookID)) {
	table, id := &CustodyTable{records: map[WebhookID]*CustodyRecord{}}, webhookID(webhook)
	if e.known {
		r := e.record(id)
		table.records[id] = &r
	}
	do(table, id)
	*e = modelRecordOf(table.Lookup(id))
}

// webhookCopy is a member's copy of a webhook. firstRunAt is when the webhook may have run first; -1: never.
type webhookCopy struct {
	present    bool
	firstRunAt int8
	calling    bool  // a call is in flight; in memory only, like move
	move       uint8 // the move by which it was transferred here
}

type messageKind uint8

const (
	noMessage messageKind = iota
	offerMessage
	queryMessage
	answerMessage
)

// message is a message in flight. One attempt arrives at most once, as over TCP without retries (cluster/transport).
// A retry is a duplicate of it, which can itself be lost, late or duplicated like any other message.
type message struct {
	isRetry                            bool
	kind, answerTo                     messageKind // answerTo is the kind of the message that this one answers
	from, to, webhook                  int8
	handoff                            HandoffNumber
	incarnation, move, version, sentAt uint8
	firstRunAt                         int8
	reply                              CustodyReply
	epoch                              uint8
}

func (m message) compare(o message) int {
	return cmp.Or(
		cmp.Compare(m.kind, o.kind),
		cmp.Compare(m.answerTo, o.answerTo),
		cmp.Compare(m.from, o.from),
		cmp.Compare(m.webhook, o.webhook),
		cmp.Compare(m.to, o.to),
		cmp.Compare(m.handoff, o.handoff),
		cmp.Compare(m.incarnation, o.incarnation),
		cmp.Compare(m.move, o.move),
		cmp.Compare(m.version, o.version),
		cmp.Compare(m.firstRunAt, o.firstRunAt),
		cmp.Compare(m.reply, o.reply),
		cmp.Compare(m.sentAt, o.sentAt),
		cmp.Compare(m.epoch, o.epoch),
	)
}

// step is one step of an action that a member has begun. The steps before stepSend are durable writes; a crash can
// happen between any two.
type step uint8

const (
	stepNone step = iota
	stepWriteRecord
	stepJournalWebhook
	stepJournalFirstRun // journal when the webhook may have run first
	stepDropWebhook
	stepEndWebhook // journal the webhook's end and report it
	stepSend       // from here on nothing is written
	stepAcceptToClient
	stepCall // the call takes effect
	stepConfirmStoredAndSend
	stepRollback // the webhook can't be stored
)

// processState is the state of a member's process and of its data folder.
type processState struct {
	incarnation             uint8  // of its folder
	epoch                   uint8  // of the lease that it holds; 0: none
	mapID                   uint16 // of its copy of the map
	isolated, releasedLease bool   // releasedLease: the member gave up the lease itself
	memory, disk            [maxWebhooks]modelRecord
	copies                  [maxWebhooks]webhookCopy
	fromClient              [maxWebhooks]bool    // a client waits for the answer about the webhook
	awaiting                [maxWebhooks]message // the message whose reply the member waits for
	steps                   [maxSteps]step
	webhook                 int8 // the webhook that the steps concern
	outgoing                message
	before                  modelRecord // the record to restore by stepRollback
}

func (p *processState) isBusy() bool { return p.steps[0] != stepNone }

// hasCustody reports whether, apart from the map, the member may call the webhook.
func (p *processState) hasCustody(webhook int8) bool {
	isChanging := p.isBusy() && p.webhook == webhook && p.steps[0] != stepCall
	return p.copies[webhook].present && p.memory[webhook].to == 0 && !isChanging
}

// faultBudget is how often each fault and command may still happen. clients is a bit set of the webhooks that clients
// have yet to submit.
type faultBudget struct {
	crashes, folderLosses, duplicates, rejections int8
	moves, reverts, failovers                     int8
	expiries, grants, isolations, unknownOutcomes int8
	clockTicks, clients                           int8
}

// mutation selects a fault that is put into the model, to show that the search finds it.
type mutation struct {
	takenBeforeRecord, takenWhileArriving bool
	neverNotJournalled, doubtNotRecovered bool
	rejectionFinal, handoffNotRaised      bool
	ignoresIncarnation, callsInDoubt      bool
	releasesEarly, forgetsFirstRun        bool
	forkNotRaised, storedNotJournalled    bool
}

// model is one state of the search.
type model struct {
	maps                    *mapStore
	members, webhooks       int8
	semantics               api.Semantics
	mutation                mutation
	budget                  faultBudget
	now                     uint8
	mapID                   uint16 // of the map in the log
	holder                  int8
	epoch                   uint8
	leaseHeld               bool
	processes               [maxMembers]processState
	network                 [maxMessages]message
	acknowledged, completed [maxWebhooks]bool // acknowledged: the client received the acceptance
	lossAllowed, forked     [maxWebhooks]bool // lossAllowed: a copy was lost with its folder
	effects, firstEffectAt  [maxWebhooks]int8
	violation               string
}

func (md *model) eventType() api.EventType {
	return api.EventType{Semantics: md.semantics, TTL: ttl, DedupWindow: window}
}

// Holder implements LeaseHolders for the lease on the one range.
func (md *model) Holder(cluster.Resource) (cluster.LeaseHolder, bool) {
	if !md.leaseHeld {
		return cluster.LeaseHolder{}, false
	}
	return cluster.LeaseHolder{Session: 1, Member: memberIDs[md.holder], Epoch: cluster.Epoch(md.epoch)}, true
}

// mapStore assigns a number to each map of one search, by its encoding.
type mapStore struct {
	all []*Map
	ids map[string]uint16
}

func (s *mapStore) id(m *Map) uint16 {
	b, err := m.Snapshot()
	if err != nil {
		panic(err)
	}
	id, known := s.ids[string(b)]
	if !known {
		id = uint16(len(s.all))
		if int(id) != len(s.all) {
			panic("more maps than a model can number")
		}
		stored := New(nil)
		if err := stored.Restore(b); err != nil {
			panic(err)
		}
		s.ids[string(b)], s.all = id, append(s.all, stored)
	}
	return id
}

func (md *model) loggedRange() Range { return md.maps.all[md.mapID].Ranges[0] }
func (md *model) mapOf(i int8) *Map  { return md.maps.all[md.processes[i].mapID] }

// newModel returns a state in which member a serves the range. Member a has the webhooks, unless the budget contains
// clients: then these are yet to submit them, to any member.
func newModel(members, webhooks int8, semantics api.Semantics, budget faultBudget, m mutation) *model {
	md := &model{
		maps:      &mapStore{ids: map[string]uint16{}},
		members:   members,
		webhooks:  webhooks,
		semantics: semantics,
		budget:    budget,
		mutation:  m,
		leaseHeld: true,
		epoch:     1,
	}
	shards := New(md)
	commands := []cluster.Command{
		Coordinator(1).Initialize(1, []MemberWeight{{memberIDs[0], 1}}),
		ConfirmOwner(1, memberIDs[0], 1, 1),
	}
	for i, c := range commands {
		if _, err := shards.Apply(uint64(i+1), c.Body); err != nil {
			panic(err)
		}
	}
	md.mapID = md.maps.id(shards)
	for i := range md.processes {
		md.processes[i].incarnation, md.processes[i].mapID = 1, md.mapID
	}
	md.processes[0].epoch = 1
	for i := range webhooks {
		if budget.clients == 0 {
			md.processes[0].copies[i], md.acknowledged[i] = webhookCopy{present: true, firstRunAt: -1}, true
		}
	}
	return md
}

// propose applies a command to the map in the log, and reports whether it was accepted.
func (md *model) propose(c cluster.Command) bool {
	if c.FencedBy == cluster.RangeOwnerResource(1) && (!md.leaseHeld || c.Epoch != cluster.Epoch(md.epoch)) {
		return false // cluster.ErrFenced
	}
	m := *md.maps.all[md.mapID]
	m.Ranges, m.DetachedMoves, m.holders = slices.Clone(m.Ranges), slices.Clone(m.DetachedMoves), md
	if _, err := m.Apply(uint64(m.Version)+1, c.Body); err != nil {
		return false
	}
	md.mapID = md.maps.id(&m)
	return true
}
