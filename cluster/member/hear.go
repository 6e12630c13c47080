package member

import (
	"log/slog"

	"github.com/valyala/fasthttp"

	"rowanlink/cluster"
	"rowanlink/cluster/shardmap"
	"rowanlink/cluster/transport"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// Hear takes a webhook that its entry sent here, or says where it goes.
func (f *forwarding) Hear(ctx *fasthttp.RequestCtx) {
	f.hear(ctx, func(s sent, c shardmap.Carried) (admission shardmap.Admission, v shardmap.Verdict) {
		if chart := f.homes.Map(); chart != nil {
			return f.admit(chart, s, c)
		}
		return shardmap.Behind, v
	})
}

// admit guards against a webhook taken on by a move's source that has let go, or is about to, which the next
// one of its key, sent to the target, overtakes: its sender keeps it.
func (f *forwarding) admit(chart *shardmap.Map, s sent, c shardmap.Carried) (shardmap.Admission, shardmap.Verdict) {
	admission, v := chart.AdmitOf(f.homes.tenant(), c.Dest, s.Version)
	_, held := f.homes.session.Holds(cluster.RangeOwnerResource(v.Range))
	if admission == shardmap.Take && v.Passes.Open() && (!held || f.homes.isShut(v)) {
		admission = shardmap.Behind
	}
	return admission, v
}

// HearOwed takes what another member owes and hands on: by a move, or since the home is here.
func (f *forwarding) HearOwed(ctx *fasthttp.RequestCtx) {
	f.hear(ctx, func(s sent, c shardmap.Carried) (admission shardmap.Admission, v shardmap.Verdict) {
		chart := f.homes.Map()
		switch {
		case chart == nil:
			return shardmap.Behind, v
		case s.Move == 0:
			return f.admit(chart, s, c)
		}
		return chart.Passes(s.Move, f.homes.self), v
	})
}

func (f *forwarding) hear(ctx *fasthttp.RequestCtx, admit func(sent, shardmap.Carried) (shardmap.Admission,
	shardmap.Verdict)) {
	var s sent
	if err := transport.Decode(ctx.Request.Body(), &s); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	said := heards{Life: f.names.Life}
	if s.Life != said.Life { // guards against a yes for what went down with the folder that it was sent to
		ctx.SetBody(transport.Encode(said))
		return
	}
	lag := f.lag(transport.From(ctx), s.At)
	f.side.taught(s.Learned, lag)
	for i, c := range s.All {
		s.All[i] = c.Shifted(lag)
	}
	f.homes.door.RLock() // until what is admitted is in
	defer f.homes.door.RUnlock()
	t := taking{forwarding: f, s: s, said: make([]heard, len(s.All))}
	t.take(admit)
	said.All = t.said
	ctx.SetBody(transport.Encode(said))
}

// lag is by how much this member's clock shows more than another's.
func (f *forwarding) lag(from cluster.MemberID, sentAt api.Micros) api.Micros {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.clocks[from] == nil {
		f.clocks[from] = &shardmap.Clock{}
	}
	return f.clocks[from].Heard(sentAt, inflight.Now(), f.apart)
}

// HearSettle answers a member in doubt. A no is kept: what is still on its way comes in vain.
func (f *forwarding) HearSettle(ctx *fasthttp.RequestCtx) {
	var all []asked
	if err := transport.Decode(ctx.Request.Body(), &all); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	replies, names, now := make([]shardmap.Reply, len(all)), make([]shardmap.Name, len(all)), inflight.Now()
	for i, a := range all {
		switch names[i] = a.Name; {
		case a.Life == 0: // sent before any life was known: no folder takes that
			replies[i] = shardmap.Never
		case a.Life != f.names.Life:
			replies[i] = shardmap.Forgot
		}
	}
	err := f.names.Change(names, func(k *shardmap.Known) {
		for i, a := range all {
			if replies[i] == shardmap.Silent {
				replies[i], _ = k.Asked(a.Name, a.Hand, now+a.Left)
			}
		}
	})
	if err != nil {
		ctx.Error("names not written", fasthttp.StatusServiceUnavailable)
		return
	}
	slog.Debug("asked who has webhooks", "by", transport.From(ctx), "webhooks", len(all))
	ctx.SetBody(transport.Encode(replies))
}
