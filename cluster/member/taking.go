package member

import (
	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// taking is webhooks of one message, taken on in their order, each once, whatever is said twice.
type taking struct {
	*forwarding
	s    sent
	said []heard
	was  []past // records before, where this message takes them on; by place in the message
	ins  []*inflight.Webhook
	of   []int // their places in the message
	back map[inflight.RequestID]*inflight.Past
	own  []inflight.RequestID // may be called from here on
}

func (t *taking) take(admit func(sent, shardmap.Carried) (shardmap.Admission, shardmap.Verdict)) {
	names, webhooks := make([]shardmap.Name, len(t.s.All)), make([]*inflight.Webhook, len(t.s.All))
	t.was, t.back = make([]past, len(t.s.All)), map[inflight.RequestID]*inflight.Past{}
	for i, c := range t.s.All {
		names[i] = c.Name
		if w, err := webhook(c); err == nil && t.x.Named(c.Dest) {
			webhooks[i] = w
		}
	}
	err := t.names.Change(names, func(k *shardmap.Known) {
		now := inflight.Now()
		if !t.returns(k, webhooks) {
			return
		}
		for i, c := range t.s.All {
			t.offered(k, i, c, webhooks[i], now, admit)
		}
	})
	if err != nil { // what was to be taken on is refused by this try, of the rest nothing is told
		clear(t.said)
		for n, i := range t.of {
			t.side.adopts(t.ins[n].RequestID, 0)
			t.said[i] = heard{Reply: shardmap.Refuses, RetryIn: inflight.AnswerWithin}
		}
		return
	}
	t.handIn()
	t.settle(names)
}

// returns has what comes back written with what it brings along, before the record says that it is here;
// names are locked.
func (t *taking) returns(k *shardmap.Known, webhooks []*inflight.Webhook) (written bool) {
	for i, c := range t.s.All {
		if w := webhooks[i]; w != nil && k.Returns(c.Name, c.Hand) && w.Past != nil {
			t.back[w.RequestID] = w.Past
		}
	}
	return len(t.back) == 0 || t.side.decider.Returned(t.back)
}

// offered decides one; names are locked.
func (t *taking) offered(k *shardmap.Known, i int, c shardmap.Carried, w *inflight.Webhook, now api.Micros,
	admit func(sent, shardmap.Carried) (shardmap.Admission, shardmap.Verdict)) {
	admission, told := admit(t.s, c)
	t.was[i] = t.names.past(c.Name)
	reply, what := k.Offered(c.Name, c.Hand, c.TTL, now, admission == shardmap.Take && w != nil)
	if t.said[i].Reply = reply; reply == shardmap.Refuses && admission != shardmap.Take {
		t.said[i].Refused, t.said[i].Told = admission, told
	}
	switch what {
	case shardmap.Takes:
		w.InDoubt = true // until its record says that it came
		t.ins, t.of = append(t.ins, w), append(t.of, i)
	case shardmap.Back:
		t.own = append(t.own, w.RequestID)
	default:
		return
	}
	t.side.adopts(w.RequestID, t.s.Move)
}

// handIn has what is new taken on; what is refused is as if it had not been offered.
func (t *taking) handIn() {
	t.x.HandInAll(t.ins, func(n int, what inflight.Answer, retryIn api.Micros) {
		i := t.of[n]
		switch what {
		case inflight.Taken:
			t.homes.session.TakenOver.Add(1)
			t.x.Accepted.Add(1)
		case inflight.Doubled: // it came here by another way, and is this member's already
			t.said[i].Doubled = true
		default:
			t.side.adopts(t.ins[n].RequestID, 0)
			t.said[i] = heard{Reply: shardmap.Refuses, RetryIn: retryIn}
		}
	})
}

// settle notes what has come, before it may be called and before that is said.
func (t *taking) settle(names []shardmap.Name) {
	var after []shardmap.Name
	for _, i := range t.of {
		after = append(after, names[i])
	}
	note := func(k *shardmap.Known) {
		for _, i := range t.of {
			if w := t.was[i]; t.said[i].Reply == shardmap.Refuses {
				k.Undo(w.name, w.record, w.known)
			} else {
				k.Came(w.name)
			}
		}
	}
	if len(after) > 0 && t.names.Change(after, note) != nil { // Look tries again
		clear(t.said)
	} else {
		for n, i := range t.of {
			if t.said[i].Reply == shardmap.Has {
				t.own = append(t.own, t.ins[n].RequestID)
			}
		}
	}
	t.side.decider.Settled(t.own)
}
