package main

import (
	"fmt"
	"math/rand"
	"strings"
)

// Variants of the troubles that meet the control side, as the bench names them.
var (
	controlCuts = []string{"", "behind", "split", "all", "near", "oldest", "one_way", "seeds", "both", "lure", "relieve"}
	cutExtras   = []string{"", "", "refuse", "reset", "leader", "race", "meet", "leader race", "reader", "giver"}
	replaceWays = []string{"", "planned", "oldest", "leader", "planned oldest", "planned leader", "leader meet", "planned race"}
	ackKills    = []string{"", "kill", "timed", "taken", "taken gone", "kill timed"}
	ackWipes    = []string{"", "oldest", "timed"}
	coreHerds   = []string{"", "power", "off", "taken", "taken all"}
	coreRolls   = []string{"", "busy", "leader", "seed", "meet", "race", "busy hard", "meet drain"}
	nodeCuts    = []string{"", "all", "servers"}
	serverCuts  = []string{"", "one_way", "reset", "some", "some lossy", "fronts"}
	closingWays = []string{"", "timed", "taken", "oldest"}
)

// controlFaultKinds are the troubles that meet the control side, each in all its variants, and what is ordered meanwhile.
var controlFaultKinds = []faultKind{
	{disruptive: true, generate: randomControlPartition}, {disruptive: true, generate: randomControlPartition}, {disruptive: true, generate: randomControlPartition},
	{planned: true, disruptive: true, generate: randomReplacement}, {planned: true, disruptive: true, generate: randomReplacement},
	{disruptive: true, generate: func(_ *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "after_ack_kill", count = %d, for_s = %.1f, how = %q`, 1+chance.Intn(2), uniform(chance, 0.5, 4), pickOne(chance, ackKills))
	}},
	{disruptive: true, generate: func(_ *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "after_ack_wipe", for_s = %.1f, how = %q`, uniform(chance, 0.5, 4), pickOne(chance, ackWipes))
	}},
	{disruptive: true, generate: func(_ *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "herd_kill", on = "core", for_s = %.1f, how = %q`, uniform(chance, 0.3, 2), pickOne(chance, coreHerds))
	}},
	{disruptive: true, generate: randomCoreKill},
	{planned: true, disruptive: true, generate: func(_ *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "roll_term", on = "core", share = 1.0, gap_s = %.1f, how = %q`, uniform(chance, 0.5, 2), pickOne(chance, coreRolls))
	}},
	{disruptive: true, generate: func(_ *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "node_freeze", on = "core", count = 1, for_s = %.1f, how = %q`, uniform(chance, 0.5, 5), pickOne(chance, freezeWays))
	}},
	{disruptive: true, generate: func(_ *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "node_cut", share = %.2f, for_s = %.1f, how = %q`, uniform(chance, 0.1, 0.5), uniform(chance, 2, 15), pickOne(chance, nodeCuts))
	}},
	{disruptive: true, generate: func(_ *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "srv_cut", share = %.2f, for_s = %.1f, how = %q`, uniform(chance, 0.1, 0.4), uniform(chance, 2, 10), pickOne(chance, serverCuts))
	}},
	{disruptive: true, generate: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = %q, for_s = %.1f, zone = %q`, pickOne(chance, []string{"zone_cut", "zone_loss"}), uniform(chance, 2, 8), pickOne(chance, from.Zones).Name)
	}},
	{disruptive: true, generate: func(_ *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "reset_conns", share = %.2f, x = %.2f`, uniform(chance, 0.1, 1), uniform(chance, 0.3, 1))
	}},
	{disruptive: true, generate: func(_ *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = %q, count = %d, x = %.0f, for_s = %.1f`, pickOne(chance, []string{"disk_slow", "disk_stall", "disk_full"}), 1+chance.Intn(2), uniform(chance, 10, 60), uniform(chance, 1, 5))
	}},
	{disruptive: true, generate: func(_ *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "clock_step", share = %.2f, x = %.0f, for_s = %.1f, how = %q`, uniform(chance, 0.2, 1), uniform(chance, 500, 5000), uniform(chance, 1, 8), pickOne(chance, clockWays))
	}},
	{generate: randomLostResponses}, {generate: randomLostResponses},
	{planned: true, generate: randomConfigChange},
	{planned: true, generate: func(_ *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "config_storm", for_s = %.1f, gap_s = %.2f`, uniform(chance, 2, 10), uniform(chance, 0.05, 0.4))
	}},
	{planned: true, generate: func(_ *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "config_race", count = %d, gap_s = %.2f`, 1+chance.Intn(6), uniform(chance, 0.2, 1.5))
	}},
	{planned: true, generate: func(_ *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "big_config", count = %d`, 100+chance.Intn(900))
	}},
	{planned: true, generate: randomEvacuation}, {planned: true, generate: randomEvacuation},
	{planned: true, generate: func(_ *site, _ *rand.Rand) string { return `kind = "seed_turnover"` }},
	{planned: true, generate: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "release", service = %q, share = %.2f, x = %d, gap_s = %.1f`, pickOne(chance, from.Services).Name, uniform(chance, 0.2, 1), 1+chance.Intn(3), uniform(chance, 0.3, 1.2))
	}},
	{planned: true, generate: func(_ *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "scale_in", share = %.2f`, uniform(chance, 0.1, 0.4))
	}},
}

// randomControlPartition cuts machines of the core off, for up to twenty seconds.
func randomControlPartition(_ *site, chance *rand.Rand) string {
	how := strings.TrimSpace(pickOne(chance, controlCuts) + " " + pickOne(chance, cutExtras))
	return fmt.Sprintf(`kind = "core_cut", count = 1, for_s = %.1f, how = %q`, uniform(chance, 2, 20), how)
}

// randomReplacement replaces a machine of the core.
func randomReplacement(_ *site, chance *rand.Rand) string {
	return fmt.Sprintf(`kind = "replace_core", x = %.1f, how = %q`, uniform(chance, 0.5, 3), pickOne(chance, replaceWays))
}

// randomLostResponses loses answers to the operators.
func randomLostResponses(_ *site, chance *rand.Rand) string {
	return fmt.Sprintf(`kind = "ack_lost", x = %.2f, for_s = %.1f`, uniform(chance, 0.3, 1), uniform(chance, 3, 20))
}

// randomControlEnding draws how a day of the control side ends.
func randomControlEnding(chance *rand.Rand) string {
	kind := pickOne(chance, []string{"power_off_all", "wipe_after_ack", "kill_all"})
	how := pickOne(chance, closingWays)
	if how == "oldest" && kind != "wipe_after_ack" {
		how = ""
	}
	if how == "" {
		return fmt.Sprintf("{ kind = %q, down_s = %.1f }", kind, uniform(chance, 0.5, 2))
	}
	return fmt.Sprintf("{ kind = %q, down_s = %.1f, how = %q }", kind, uniform(chance, 0.5, 2), how)
}
