package raftnode

import (
	"maps"
	"slices"

	"rowanlink/cluster"
	"rowanlink/cluster/fsm"
	"rowanlink/cluster/lease"
	transportpkg "rowanlink/cluster/transport"
)

// readNewerState reads, in one moment, the parts that are newer than what a member has and which of the tasks that it
// wants are free; where there is nothing to say, news tells when to look again.
func (k *Node) readNewerState(ask transportpkg.StateRequest) (answer transportpkg.StateResponse, news <-chan struct{}, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	answer.AppliedIndex = k.raft.AppliedIndex()
	for _, part := range slices.Sorted(maps.Keys(ask.Versions)) {
		version, past := k.machine.ComponentVersion(part), k.history[part]
		if past == nil {
			past = &fsm.SnapshotHistory{}
			k.history[part] = past
		}
		// What is the newest now is remembered, too: guards against a whole for all when it changes next.
		if version < ask.Versions[part] || version == ask.Versions[part] && !ask.AcceptDeltas || version == 0 {
			continue
		}
		if past.NewestVersion() != version {
			raw, err := k.machine.ComponentSnapshot(part)
			if err != nil {
				return transportpkg.StateResponse{}, nil, err
			}
			past.Add(version, raw)
		}
		if version == ask.Versions[part] {
			continue
		}
		p := transportpkg.PartState{Part: part, Version: version}
		if ask.AcceptDeltas {
			p.BaseVersion, p.Data = past.DeltaSince(ask.Versions[part])
		} else {
			_, p.Data = past.DeltaSince(0)
		}
		answer.Parts = append(answer.Parts, p)
	}
	for _, t := range ask.WantedTasks {
		if _, _, _, held := k.leases.Holder(t); !held {
			answer.FreeTasks = append(answer.FreeTasks, t)
		}
	}
	if len(answer.Parts)+len(answer.FreeTasks) == 0 {
		k.waiters++
	}
	return answer, k.stateChanged, nil
}

// rejectHeldTasks answers an ask for tasks that others hold, all of them, without an entry in the log: guards against
// one for each time that somebody asks. A yes is never given so.
func (k *Node) rejectHeldTasks(c cluster.Command) (answer []byte, sure bool) {
	var o lease.Operation
	if c.Component != cluster.LeaseComponent || c.FencedBy != "" || transportpkg.Decode(c.Body, &o) != nil || o.Kind != lease.OpAcquire {
		return nil, false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.leaderTerm == 0 || k.leases.MemberOf(o.Session) == "" {
		return nil, false
	}
	no := lease.Result{Session: o.Session}
	for _, t := range o.Resources {
		if s, _, _, held := k.leases.Holder(t); !held || s == o.Session {
			return nil, false
		}
		no.Grants = append(no.Grants, lease.Grant{Resource: t})
	}
	return transportpkg.Encode(no), len(o.Resources) > 0
}
