package mincostflow

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// bruteForce returns the largest number of workers that can be assigned to jobs, and the least cost of such an
// assignment, by trying all assignments.
func bruteForce(costs [][]int64, capacities []int, fromWorker int) (units int, cost int64) {
	if fromWorker == len(costs) {
		return 0, 0
	}
	units, cost = bruteForce(costs, capacities, fromWorker+1)
	for job, jobCost := range costs[fromWorker] {
		if jobCost < 0 || capacities[job] == 0 {
			continue
		}
		capacities[job]--
		otherUnits, otherCost := bruteForce(costs, capacities, fromWorker+1)
		capacities[job]++
		otherUnits, otherCost = otherUnits+1, otherCost+jobCost
		if otherUnits > units || otherUnits == units && otherCost < cost {
			units, cost = otherUnits, otherCost
		}
	}
	return units, cost
}

func TestNetworkSolve_FindsTheCheapestLargestAssignment(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers, jobs := rapid.IntRange(1, 4).Draw(t, "workers"), rapid.IntRange(1, 3).Draw(t, "jobs")
		n := New()
		var jobNodes, capacities []int
		for range jobs {
			node, capacity := n.AddNode(), rapid.IntRange(0, 2).Draw(t, "capacity")
			n.AddArc(node, Sink, capacity, 0)
			jobNodes, capacities = append(jobNodes, node), append(capacities, capacity)
		}
		costs := make([][]int64, workers)
		for worker := range workers {
			node := n.AddNode()
			n.AddArc(Source, node, 1, 0)
			for job := range jobs {
				cost := rapid.Int64Range(-2, 9).Draw(t, "cost") // below 0: the worker can't have the job
				costs[worker] = append(costs[worker], cost)
				if cost >= 0 {
					n.AddArc(node, jobNodes[job], 1, cost)
				}
			}
		}
		units, cost := bruteForce(costs, capacities, 0)
		require.Equal(t, units, n.Solve())
		require.Equal(t, cost, n.Cost())
	})
}

func TestNetworkSolve_SpreadsUnitsByConvexCosts(t *testing.T) {
	n := New()
	square := func(unit int) int64 { return int64(2*unit + 1) }
	first, second := n.AddNode(), n.AddNode()
	n.AddArc(Source, first, 10, 0)
	n.AddArc(first, second, 10, 0)
	direct, other := n.AddConvexArc(first, Sink, 3, square), n.AddConvexArc(second, Sink, 3, square)
	require.Equal(t, 6, n.Solve())
	require.Equal(t, int64(18), n.Cost())
	require.Equal(t, 3, n.Flow(direct))
	require.Equal(t, 3, n.Flow(other))
	side := n.SourceSide()
	require.True(t, side[first] && side[second])
	require.False(t, side[Sink])
}
