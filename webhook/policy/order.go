package policy

import (
	"cmp"

	"rowanlink/webhook/api"
)

// Submit takes on a webhook. From here on it is owed exactly one final answer before its TTL.
func (c *Control) Submit(id api.WebhookID, evt api.EventTypeID, tenant api.TenantID,
	key api.OrderingKey, ttl api.Micros, dest api.DestinationID) {
	c.Recover(id, evt, tenant, key, ttl, dest, 0, never, 0)
}

// Recover takes on a webhook that an earlier life had, with its attempts and the first that may have run. A
// call that was out has no outcome any more: like a reset, it is followed by the schedule's wait, or the end.
func (c *Control) Recover(id api.WebhookID, evt api.EventTypeID, tenant api.TenantID,
	key api.OrderingKey, ttl api.Micros, dest api.DestinationID,
	attempts int, mayRun api.Micros, zone api.ZoneID) {
	c.now = c.host.Now()
	row := &c.events[min(int(evt), len(c.events)-1)]
	w := &webhook{id: id, evt: row, dest: c.awake(c.destination(dest)), key: key, ttl: ttl, readyAt: c.now,
		mayRun: mayRun, zone: zone, target: ttl - row.TTL + row.LatencyTarget, over: c.overShare(tenant),
		attempts: attempts, retries: max(attempts-1, 0)}
	c.held[id], c.open = w, c.open+1
	if row.Ordered && key != 0 {
		t := cmp.Or(c.turns[key], &turn{restUntil: never})
		if t.line = append(t.line, w); mayRun != never {
			t.restUntil = c.now + c.OrderingGap
		}
		c.turns[key] = t
	}
	if attempts > 0 {
		c.retry(w)
		return
	}
	c.dues.Add(int64(c.lastSend(w)), w)
	c.enqueue(w)
}

// overShare meters a tenant's webhooks: what comes beyond its share earns little, whatever is done with it.
func (c *Control) overShare(id api.TenantID) (over bool) {
	if int(id) < len(c.tenants) {
		t := &c.tenants[id]
		t.level, t.at = min(t.level+t.perS*(c.now-t.at).Seconds(), max(t.perS*overBurst, 1)), c.now
		if over = t.level < 1; !over {
			t.level--
		}
	}
	return over
}

// before ranks webhooks by the value still to be had. Those inside their tenant's share come first; of them
// those that can still make the target latency, the nearest to missing it first; then the late ones, youngest
// first: all lose value alike, so what can't all be delivered in time is given up from the oldest on. A
// tokened webhook that may have run counts as in time: past its window it would be a dead letter.
func (c *Control) before(a, b *webhook) int {
	tier := func(w *webhook) (t int) {
		atRisk := w.mayRun != never && w.evt.Semantics == api.Deduplicated
		if !atRisk && c.now+api.Micros(w.dest.shared.mean) > w.target {
			t = 1
		}
		if w.over {
			t += 2
		}
		return t
	}
	ta, tb := tier(a), tier(b)
	if ta != tb {
		return ta - tb
	}
	// While slots are scarce those go first that give them back soonest: a few slow destinations would take all.
	if ra, rb := a.dest.shared, b.dest.shared; ra != rb && float64(c.out) >= fullShare*float64(c.MaxInFlight) {
		return cmp.Compare(ra.mean, rb.mean)
	}
	if ta&1 == 1 {
		return cmp.Compare(b.target, a.target)
	}
	return cmp.Compare(a.target, b.target)
}

// inTurn holds an ordered webhook until each earlier one of its key is over with no attempt out, and the key
// has rested after one that may still run.
func (c *Control) inTurn(w *webhook) verdict {
	t := c.turns[w.key]
	return verdict(!w.evt.Ordered || w.key == 0 || t.line[0] == w && (w.attempts > 0 || c.now >= t.restUntil))
}
