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

// controlKinds are the troubles that meet the control side, each in all its variants, and what is ordered meanwhile.
var controlKinds = []kind{
	{shakes: true, draw: drawControlCut}, {shakes: true, draw: drawControlCut}, {shakes: true, draw: drawControlCut},
	{planned: true, shakes: true, draw: drawReplacement}, {planned: true, shakes: true, draw: drawReplacement},
	{shakes: true, draw: func(_ *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "after_ack_kill", count = %d, for_s = %.1f, how = %q`, 1+chance.Intn(2), within(chance, 0.5, 4), pick(chance, ackKills))
	}},
	{shakes: true, draw: func(_ *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "after_ack_wipe", for_s = %.1f, how = %q`, within(chance, 0.5, 4), pick(chance, ackWipes))
	}},
	{shakes: true, draw: func(_ *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "herd_kill", on = "core", for_s = %.1f, how = %q`, within(chance, 0.3, 2), pick(chance, coreHerds))
	}},
	{shakes: true, draw: drawCoreKill},
	{planned: true, shakes: true, draw: func(_ *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "roll_term", on = "core", share = 1.0, gap_s = %.1f, how = %q`, within(chance, 0.5, 2), pick(chance, coreRolls))
	}},
	{shakes: true, draw: func(_ *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "node_freeze", on = "core", count = 1, for_s = %.1f, how = %q`, within(chance, 0.5, 5), pick(chance, freezeWays))
	}},
	{shakes: true, draw: func(_ *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "node_cut", share = %.2f, for_s = %.1f, how = %q`, within(chance, 0.1, 0.5), within(chance, 2, 15), pick(chance, nodeCuts))
	}},
	{shakes: true, draw: func(_ *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "srv_cut", share = %.2f, for_s = %.1f, how = %q`, within(chance, 0.1, 0.4), within(chance, 2, 10), pick(chance, serverCuts))
	}},
	{shakes: true, draw: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = %q, for_s = %.1f, zone = %q`, pick(chance, []string{"zone_cut", "zone_loss"}), within(chance, 2, 8), pick(chance, from.Zones).Name)
	}},
	{shakes: true, draw: func(_ *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "reset_conns", share = %.2f, x = %.2f`, within(chance, 0.1, 1), within(chance, 0.3, 1))
	}},
	{shakes: true, draw: func(_ *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = %q, count = %d, x = %.0f, for_s = %.1f`, pick(chance, []string{"disk_slow", "disk_stall", "disk_full"}), 1+chance.Intn(2), within(chance, 10, 60), within(chance, 1, 5))
	}},
	{shakes: true, draw: func(_ *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "clock_step", share = %.2f, x = %.0f, for_s = %.1f, how = %q`, within(chance, 0.2, 1), within(chance, 500, 5000), within(chance, 1, 8), pick(chance, clockWays))
	}},
	{draw: drawLostAnswers}, {draw: drawLostAnswers},
	{planned: true, draw: drawConfigChange},
	{planned: true, draw: func(_ *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "config_storm", for_s = %.1f, gap_s = %.2f`, within(chance, 2, 10), within(chance, 0.05, 0.4))
	}},
	{planned: true, draw: func(_ *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "config_race", count = %d, gap_s = %.2f`, 1+chance.Intn(6), within(chance, 0.2, 1.5))
	}},
	{planned: true, draw: func(_ *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "big_config", count = %d`, 100+chance.Intn(900))
	}},
	{planned: true, draw: drawEvacuation}, {planned: true, draw: drawEvacuation},
	{planned: true, draw: func(_ *site, _ *rand.Rand) string { return `kind = "seed_turnover"` }},
	{planned: true, draw: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "release", service = %q, share = %.2f, x = %d, gap_s = %.1f`, pick(chance, from.Services).Name, within(chance, 0.2, 1), 1+chance.Intn(3), within(chance, 0.3, 1.2))
	}},
	{planned: true, draw: func(_ *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "scale_in", share = %.2f`, within(chance, 0.1, 0.4))
	}},
}

// drawControlCut cuts machines of the core off, for up to twenty seconds.
func drawControlCut(_ *site, chance *rand.Rand) string {
	how := strings.TrimSpace(pick(chance, controlCuts) + " " + pick(chance, cutExtras))
	return fmt.Sprintf(`kind = "core_cut", count = 1, for_s = %.1f, how = %q`, within(chance, 2, 20), how)
}

// drawReplacement replaces a machine of the core.
func drawReplacement(_ *site, chance *rand.Rand) string {
	return fmt.Sprintf(`kind = "replace_core", x = %.1f, how = %q`, within(chance, 0.5, 3), pick(chance, replaceWays))
}

// drawLostAnswers loses answers to the operators.
func drawLostAnswers(_ *site, chance *rand.Rand) string {
	return fmt.Sprintf(`kind = "ack_lost", x = %.2f, for_s = %.1f`, within(chance, 0.3, 1), within(chance, 3, 20))
}

// drawControlClosing draws how a day of the control side ends.
func drawControlClosing(chance *rand.Rand) string {
	kind := pick(chance, []string{"power_off_all", "wipe_after_ack", "kill_all"})
	how := pick(chance, closingWays)
	if how == "oldest" && kind != "wipe_after_ack" {
		how = ""
	}
	if how == "" {
		return fmt.Sprintf("{ kind = %q, down_s = %.1f }", kind, within(chance, 0.5, 2))
	}
	return fmt.Sprintf("{ kind = %q, down_s = %.1f, how = %q }", kind, within(chance, 0.5, 2), how)
}
