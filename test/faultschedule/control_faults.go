package main

import (
	"fmt"
	"math/rand"
	"strings"
)

// Variants of the faults of the control plane, by the bench's names.
var (
	controlPartitionVariants = []string{"", "behind", "split", "all", "near", "oldest", "one_way", "seeds", "both", "lure", "relieve"}
	partitionExtras          = []string{"", "", "refuse", "reset", "leader", "race", "meet", "leader race", "reader", "giver"}
	replacementVariants      = []string{"", "planned", "oldest", "leader", "planned oldest", "planned leader", "leader meet", "planned race"}
	ackKillVariants          = []string{"", "kill", "timed", "taken", "taken gone", "kill timed"}
	ackWipeVariants          = []string{"", "oldest", "timed"}
	herdKillVariants         = []string{"", "power", "off", "taken", "taken all"}
	controlRollVariants      = []string{"", "busy", "leader", "seed", "meet", "race", "busy hard", "meet drain"}
	nodePartitionVariants    = []string{"", "all", "servers"}
	serverPartitionVariants  = []string{"", "one_way", "reset", "some", "some lossy", "fronts"}
	endingVariants           = []string{"", "timed", "taken", "oldest"}
)

// controlFaultKinds are the faults of the control plane, each in all its variants, and the operators' changes
// meanwhile.
var controlFaultKinds = []faultKind{
	{disruptive: true, generate: randomControlPartition},
	{disruptive: true, generate: randomControlPartition},
	{disruptive: true, generate: randomControlPartition},
	{planned: true, disruptive: true, generate: randomReplacement},
	{planned: true, disruptive: true, generate: randomReplacement},
	{disruptive: true, generate: func(_ *site, random *rand.Rand) string {
		return fmt.Sprintf(
			`kind = "after_ack_kill", count = %d, for_s = %.1f, how = %q`,
			1+random.Intn(2),
			uniform(random, 0.5, 4),
			pickOne(random, ackKillVariants),
		)
	}},
	{disruptive: true, generate: func(_ *site, random *rand.Rand) string {
		return fmt.Sprintf(
			`kind = "after_ack_wipe", for_s = %.1f, how = %q`,
			uniform(random, 0.5, 4),
			pickOne(random, ackWipeVariants),
		)
	}},
	{disruptive: true, generate: func(_ *site, random *rand.Rand) string {
		return fmt.Sprintf(
			`kind = "herd_kill", on = "core", for_s = %.1f, how = %q`,
			uniform(random, 0.3, 2),
			pickOne(random, herdKillVariants),
		)
	}},
	{disruptive: true, generate: randomCoreKill},
	{planned: true, disruptive: true, generate: func(_ *site, random *rand.Rand) string {
		return fmt.Sprintf(
			`kind = "roll_term", on = "core", share = 1.0, gap_s = %.1f, how = %q`,
			uniform(random, 0.5, 2),
			pickOne(random, controlRollVariants),
		)
	}},
	{disruptive: true, generate: func(_ *site, random *rand.Rand) string {
		return fmt.Sprintf(
			`kind = "node_freeze", on = "core", count = 1, for_s = %.1f, how = %q`,
			uniform(random, 0.5, 5),
			pickOne(random, freezeVariants),
		)
	}},
	{disruptive: true, generate: func(_ *site, random *rand.Rand) string {
		return fmt.Sprintf(
			`kind = "node_cut", share = %.2f, for_s = %.1f, how = %q`,
			uniform(random, 0.1, 0.5),
			uniform(random, 2, 15),
			pickOne(random, nodePartitionVariants),
		)
	}},
	{disruptive: true, generate: func(_ *site, random *rand.Rand) string {
		return fmt.Sprintf(
			`kind = "srv_cut", share = %.2f, for_s = %.1f, how = %q`,
			uniform(random, 0.1, 0.4),
			uniform(random, 2, 10),
			pickOne(random, serverPartitionVariants),
		)
	}},
	{disruptive: true, generate: func(from *site, random *rand.Rand) string {
		return fmt.Sprintf(
			`kind = %q, for_s = %.1f, zone = %q`,
			pickOne(random, []string{"zone_cut", "zone_loss"}),
			uniform(random, 2, 8),
			pickOne(random, from.Zones).Name,
		)
	}},
	{disruptive: true, generate: func(_ *site, random *rand.Rand) string {
		return fmt.Sprintf(
			`kind = "reset_conns", share = %.2f, x = %.2f`,
			uniform(random, 0.1, 1),
			uniform(random, 0.3, 1),
		)
	}},
	{disruptive: true, generate: func(_ *site, random *rand.Rand) string {
		return fmt.Sprintf(
			`kind = %q, count = %d, x = %.0f, for_s = %.1f`,
			pickOne(random, []string{"disk_slow", "disk_stall", "disk_full"}),
			1+random.Intn(2),
			uniform(random, 10, 60),
			uniform(random, 1, 5),
		)
	}},
	{disruptive: true, generate: func(_ *site, random *rand.Rand) string {
		return fmt.Sprintf(
			`kind = "clock_step", share = %.2f, x = %.0f, for_s = %.1f, how = %q`,
			uniform(random, 0.2, 1),
			uniform(random, 500, 5000),
			uniform(random, 1, 8),
			pickOne(random, clockVariants),
		)
	}},
	{generate: randomLostResponses},
	{generate: randomLostResponses},
	{planned: true, generate: randomConfigChange},
	{planned: true, generate: func(_ *site, random *rand.Rand) string {
		return fmt.Sprintf(
			`kind = "config_storm", for_s = %.1f, gap_s = %.2f`,
			uniform(random, 2, 10),
			uniform(random, 0.05, 0.4),
		)
	}},
	{planned: true, generate: func(_ *site, random *rand.Rand) string {
		return fmt.Sprintf(
			`kind = "config_race", count = %d, gap_s = %.2f`,
			1+random.Intn(6),
			uniform(random, 0.2, 1.5),
		)
	}},
	{planned: true, generate: func(_ *site, random *rand.Rand) string {
		return fmt.Sprintf(`kind = "big_config", count = %d`, 100+random.Intn(900))
	}},
	{planned: true, generate: randomEvacuation},
	{planned: true, generate: randomEvacuation},
	{planned: true, generate: func(_ *site, _ *rand.Rand) string { return `kind = "seed_turnover"` }},
	{planned: true, generate: func(from *site, random *rand.Rand) string {
		return fmt.Sprintf(
			`kind = "release", service = %q, share = %.2f, x = %d, gap_s = %.1f`,
			pickOne(random, from.Services).Name,
			uniform(random, 0.2, 1),
			1+random.Intn(3),
			uniform(random, 0.3, 1.2),
		)
	}},
	{planned: true, generate: func(_ *site, random *rand.Rand) string {
		return fmt.Sprintf(`kind = "scale_in", share = %.2f`, uniform(random, 0.1, 0.4))
	}},
}

// randomControlPartition partitions core machines for up to twenty seconds.
func randomControlPartition(_ *site, random *rand.Rand) string {
	how := strings.TrimSpace(pickOne(random, controlPartitionVariants) + " " + pickOne(random, partitionExtras))
	return fmt.Sprintf(`kind = "core_cut", count = 1, for_s = %.1f, how = %q`, uniform(random, 2, 20), how)
}

// randomReplacement replaces a core machine.
func randomReplacement(_ *site, random *rand.Rand) string {
	return fmt.Sprintf(
		`kind = "replace_core", x = %.1f, how = %q`,
		uniform(random, 0.5, 3),
		pickOne(random, replacementVariants),
	)
}

// randomLostResponses loses responses to the operators.
func randomLostResponses(_ *site, random *rand.Rand) string {
	return fmt.Sprintf(
		`kind = "ack_lost", x = %.2f, for_s = %.1f`,
		uniform(random, 0.3, 1),
		uniform(random, 3, 20),
	)
}

// randomControlEnding returns how a day of the control plane ends.
func randomControlEnding(random *rand.Rand) string {
	kind := pickOne(random, []string{"power_off_all", "wipe_after_ack", "kill_all"})
	how := pickOne(random, endingVariants)
	if how == "oldest" && kind != "wipe_after_ack" {
		how = ""
	}
	if how == "" {
		return fmt.Sprintf("{ kind = %q, down_s = %.1f }", kind, uniform(random, 0.5, 2))
	}
	return fmt.Sprintf("{ kind = %q, down_s = %.1f, how = %q }", kind, uniform(random, 0.5, 2), how)
}
