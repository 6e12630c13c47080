package member

import (
	"fmt"

	"github.com/valyala/fasthttp"

	"rowanlink/cluster"
	"rowanlink/cluster/rebalance"
	"rowanlink/cluster/shardmap"
	"rowanlink/cluster/transport"
	"rowanlink/webhook/api"
)

// FetchShardMap asks a keeper for the map of ranges and the running plan; without an address there are none.
func FetchShardMap(says string) (*shardmap.Map, *rebalance.Progress, error) {
	if says == "" {
		return nil, nil, nil
	}
	t := transport.NewClient("", map[cluster.MemberID]string{"it": says})
	defer t.Close()
	status, raw, err := t.Call("it", transport.StatePath, transport.Encode(transport.StateRequest{
		Versions: map[byte]uint64{cluster.ShardMapComponent: 0, cluster.RebalanceComponent: 0}}), duration(10*api.Second))
	var answer transport.StateResponse
	if err == nil && status == fasthttp.StatusOK {
		err = transport.Decode(raw, &answer)
	}
	m, p, told := shardmap.New(nil), &rebalance.Progress{}, false
	for _, part := range answer.Parts {
		switch {
		case err != nil:
		case part.Part == cluster.ShardMapComponent:
			err, told = m.Restore(part.Data), true
		case part.Part == cluster.RebalanceComponent:
			err = p.Restore(part.Data)
		}
	}
	if err != nil || status != fasthttp.StatusOK || !told {
		return nil, nil, fmt.Errorf("%s tells no map of ranges (status %d, %v): is it a keeper's address?", says,
			status, err)
	}
	return m, p, nil
}
