package register

import (
	"slices"

	"rowanlink/serving/state"
)

// These updates change the voters without regard to failures and to what has caught up, for the exploration and the
// scripts. The program itself changes the voters only by voterPlacement.

// AddReplica returns an update that adds a voter.
func AddReplica(replica state.Replica) Update {
	return func(record state.Record) (state.Record, error) {
		if record.Voters.Contains(replica.ID) {
			return record, ErrNoChange
		}
		record.Voters.Replicas = append(slices.Clone(record.Voters.Replicas), replica)
		return record, nil
	}
}

// ReplaceReplica returns an update that replaces a voter. If the former one isn't a voter, the new one is only added.
func ReplaceReplica(formerID string, replica state.Replica) Update {
	return func(record state.Record) (state.Record, error) {
		if record.Voters.Contains(replica.ID) {
			return record, ErrNoChange
		}
		record.Voters.Replicas = append(without(record.Voters.Replicas, formerID), replica)
		return record, nil
	}
}

// RemoveReplica returns an update that removes a voter, unless it is the last one.
func RemoveReplica(id string) Update {
	return func(record state.Record) (state.Record, error) {
		left := without(record.Voters.Replicas, id)
		if len(left) == len(record.Voters.Replicas) || len(left) == 0 {
			return record, ErrNoChange
		}
		record.Voters.Replicas = left
		return record, nil
	}
}

func without(replicas []state.Replica, id string) []state.Replica {
	left := make([]state.Replica, 0, len(replicas))
	for _, replica := range replicas {
		if replica.ID != id {
			left = append(left, replica)
		}
	}
	return left
}
