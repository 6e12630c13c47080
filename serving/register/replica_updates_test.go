package register

import (
	"slices"

	"rowanlink/serving/state"
)

// These updates change the replicas without asking who is absent or has caught up, as the model and the scripts need
// it. The program changes them by seats.go alone.

// AddReplica adds a member to the register.
func AddReplica(replica state.Replica) Update {
	return func(record state.Record) (state.Record, error) {
		if record.Voters.Contains(replica.ID) {
			return record, ErrNoChange
		}
		record.Voters.Replicas = append(slices.Clone(record.Voters.Replicas), replica)
		return record, nil
	}
}

// ReplaceReplica puts a member in the place of another. Where that one isn't a member, it is only added.
func ReplaceReplica(formerID string, replica state.Replica) Update {
	return func(record state.Record) (state.Record, error) {
		if record.Voters.Contains(replica.ID) {
			return record, ErrNoChange
		}
		record.Voters.Replicas = append(without(record.Voters.Replicas, formerID), replica)
		return record, nil
	}
}

// RemoveReplica takes a member out of the register. The last one stays.
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
