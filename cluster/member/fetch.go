package member

import (
	"errors"
	"fmt"

	"github.com/valyala/fasthttp"

	"rowanlink/cluster"
	"rowanlink/cluster/rebalance"
	"rowanlink/cluster/shardmap"
	"rowanlink/cluster/transport"
	"rowanlink/webhook/api"
)

const fetchTimeout = 10 * api.Second

var errNoShardMap = errors.New("the response has no shard map")

// FetchState fetches the shard map and the running plan from the raft node at an address (host:port). For an empty
// address it returns nil for both.
func FetchState(address string) (*shardmap.Map, *rebalance.Progress, error) {
	if address == "" {
		return nil, nil, nil
	}
	answer, status, err := requestState(address)
	shardMap, progress := shardmap.New(nil), &rebalance.Progress{}
	if err == nil {
		err = restoreState(answer, shardMap, progress)
	}
	if err != nil {
		return nil, nil, fmt.Errorf("%s returned no shard map (status %d, %w): is it the address of a raft node?", address,
			status, err)
	}
	return shardMap, progress, nil
}

func requestState(address string) (answer transport.StateResponse, status int, err error) {
	const node cluster.MemberID = "it"
	client := transport.NewClient("", map[cluster.MemberID]string{node: address})
	defer client.Close()
	request := transport.StateRequest{Versions: map[cluster.ComponentID]uint64{
		cluster.ShardMapComponent:  0,
		cluster.RebalanceComponent: 0,
	}}
	response, err := client.Call(node, transport.StatePath, transport.Encode(request), fetchTimeout.Duration())
	if err != nil {
		return answer, response.Status, err
	}
	if response.Status != fasthttp.StatusOK {
		return answer, response.Status, errNoShardMap
	}
	err = response.Decode(&answer)
	return answer, response.Status, err
}

func restoreState(answer transport.StateResponse, shardMap *shardmap.Map, progress *rebalance.Progress) error {
	err := errNoShardMap
	for _, state := range answer.Components {
		switch state.Component {
		case cluster.ShardMapComponent:
			err = shardMap.Restore(state.Data)
		case cluster.RebalanceComponent:
			if planErr := progress.Restore(state.Data); planErr != nil {
				return planErr
			}
		}
	}
	return err
}
