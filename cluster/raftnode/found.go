package raftnode

import (
	"log/slog"
	"slices"
	"time"

	"github.com/hashicorp/raft"
	"github.com/valyala/fasthttp"

	"rowanlink/cluster"
	"rowanlink/cluster/timing"
	transportpkg "rowanlink/cluster/transport"
)

// tend compares, again and again, who the keepers are with who they should be: the log is begun once, by the
// first of them, when all of their folders are empty; whoever is not among them asks to be; the leader takes
// in and lets go, one at a time.
func (k *Keeper) tend() {
	defer k.done.Done()
	every := time.NewTicker(span(timing.ReconfigureInterval(k.term)))
	defer every.Stop()
	for {
		servers := k.raft.GetConfiguration().Configuration().Servers
		_, leader := k.raft.LeaderWithID()
		switch {
		case k.raft.State() == raft.Leader && k.stopped() != nil:
			k.raft.LeadershipTransfer()
		case k.raft.State() == raft.Leader:
			k.reconcile(servers)
		case len(servers) == 0 && !k.found():
			k.askIn()
		case leader == "" || suffrageOf(servers, k.folder.id) != raft.Voter:
			k.askIn()
		}
		select {
		case <-every.C:
		case <-k.ended:
			return
		}
	}
}

// stopped is why nothing is applied any more, if so.
func (k *Keeper) stopped() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.halted
}

// suffrageOf is what a server may do: less than raft.Voter's where it is none.
func suffrageOf(servers []raft.Server, id raft.ServerID) raft.ServerSuffrage {
	for _, s := range servers {
		if s.ID == id {
			return s.Suffrage
		}
	}
	return -1
}

// found begins the log, or leaves that to the first keeper; false: it was begun elsewhere. It needs an answer
// of all keepers: guards against one that lost its folder beginning another log while the others can't be
// asked.
func (k *Keeper) found() bool {
	k.mu.Lock()
	keepers := k.keepers
	k.mu.Unlock()
	if len(keepers) == 0 || !slices.Contains(keepers, k.self) {
		return false
	}
	servers, begun := []raft.Server{server(k.folder.id)}, false
	for _, m := range keepers {
		if m == k.self {
			continue
		}
		var who transportpkg.Who
		_, raw, err := k.talk.Say(m, transportpkg.WhoPath, transportpkg.Encode(k.whoAmI()), span(timing.RequestTimeout(k.term)))
		switch {
		case err != nil || transportpkg.Decode(raw, &who) != nil || memberOf(raft.ServerID(who.Server)) != m:
			servers = nil
		case !who.Empty:
			begun = true
		case !slices.Equal(who.Keepers, keepers):
			servers = nil
		case servers != nil:
			servers = append(servers, server(raft.ServerID(who.Server)))
		}
	}
	if begun || servers == nil || keepers[0] != k.self {
		return !begun
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if !slices.Equal(k.keepers, keepers) || !k.empty() {
		return true
	}
	err := k.raft.BootstrapCluster(raft.Configuration{Servers: servers}).Error()
	slog.Info("keeper begins the log", "member", k.self, "servers", len(servers), "why_not", err)
	return true
}

func server(id raft.ServerID) raft.Server {
	return raft.Server{Suffrage: raft.Voter, ID: id, Address: raft.ServerAddress(id)}
}

func (k *Keeper) empty() bool {
	return k.raft.LastIndex() == 0 && len(k.raft.GetConfiguration().Configuration().Servers) == 0
}

func (k *Keeper) whoAmI() transportpkg.Who {
	k.mu.Lock()
	defer k.mu.Unlock()
	return transportpkg.Who{Server: string(k.folder.id), Empty: k.empty(), Keepers: k.keepers}
}

func (k *Keeper) who(ctx *fasthttp.RequestCtx) { ctx.SetBody(transportpkg.Encode(k.whoAmI())) }

// askIn asks each of the keepers until the leader hears it.
func (k *Keeper) askIn() {
	k.mu.Lock()
	keepers := k.keepers
	k.mu.Unlock()
	ask := transportpkg.Encode(transportpkg.Join{Member: k.self, Server: string(k.folder.id), Applied: k.raft.AppliedIndex()})
	for _, m := range keepers {
		if m != k.self {
			status, _, err := k.talk.Say(m, transportpkg.JoinPath, ask, span(timing.RequestTimeout(k.term)))
			if err == nil && status == fasthttp.StatusOK {
				return
			}
		}
	}
}

func (k *Keeper) join(ctx *fasthttp.RequestCtx) {
	var j transportpkg.Join
	if !read(ctx, &j) {
		return
	}
	if _, self := k.Leads(); !self {
		k.elsewhere(ctx)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if !slices.Contains(k.keepers, j.Member) || memberOf(raft.ServerID(j.Server)) != j.Member {
		ctx.SetStatusCode(fasthttp.StatusForbidden)
		return
	}
	k.joins[j.Member] = j
}

// reconcile does one thing that brings the keepers nearer to who they should be. A folder that comes in place
// of a lost one is fed first, then has the lost one's vote; who is to go, goes when all others have theirs.
func (k *Keeper) reconcile(servers []raft.Server) {
	k.mu.Lock()
	keepers, joins := k.keepers, k.joins
	k.joins = map[cluster.MemberID]transportpkg.Join{}
	led := k.reign != 0
	k.mu.Unlock()
	if !led {
		return
	}
	if !slices.Contains(keepers, k.self) { // who is new knows only those who stay, and asks them
		k.raft.LeadershipTransfer()
		return
	}
	for _, j := range joins {
		id := raft.ServerID(j.Server)
		was := suffrageOf(servers, id)
		switch {
		case was == raft.Voter:
			continue
		case was != raft.Nonvoter:
			k.change("keeper comes in", id, k.raft.AddNonvoter(id, raft.ServerAddress(id), 0, span(k.term)))
		case j.Applied > 0:
			if lost := slices.IndexFunc(servers, func(s raft.Server) bool {
				return s.ID != id && memberOf(s.ID) == j.Member
			}); lost >= 0 {
				k.change("keeper's lost folder goes", servers[lost].ID,
					k.raft.RemoveServer(servers[lost].ID, 0, span(k.term)))
			} else {
				k.change("keeper has its vote", id, k.raft.AddVoter(id, raft.ServerAddress(id), 0, span(k.term)))
			}
		}
		return
	}
	for _, m := range keepers {
		if !slices.ContainsFunc(servers, func(s raft.Server) bool {
			return memberOf(s.ID) == m && s.Suffrage == raft.Voter
		}) {
			return
		}
	}
	for _, s := range servers {
		if slices.Contains(keepers, memberOf(s.ID)) {
			continue
		}
		k.change("keeper goes", s.ID, k.raft.RemoveServer(s.ID, 0, span(k.term)))
		return
	}
}

func (k *Keeper) change(what string, id raft.ServerID, f raft.IndexFuture) {
	if err := f.Error(); err != nil {
		slog.Warn(what+": not done", "server", id, "why", err)
		return
	}
	k.Joined.Add(1)
	slog.Info(what, "server", id)
}

// Servers are the keepers of the log as it has them now, and which of them vote.
func (k *Keeper) Servers() map[cluster.MemberID]bool {
	all := map[cluster.MemberID]bool{}
	for _, s := range k.raft.GetConfiguration().Configuration().Servers {
		all[memberOf(s.ID)] = s.Suffrage == raft.Voter
	}
	return all
}

// Voter is whether this very folder votes.
func (k *Keeper) Voter() bool {
	return suffrageOf(k.raft.GetConfiguration().Configuration().Servers, k.folder.id) == raft.Voter
}
