package main

import (
	"fmt"
	"math/rand"
)

// faultKind is one kind of trouble.
type faultKind struct {
	planned bool
	disruptive  bool // it makes the core unsettled, or machines lose touch
	generate    func(from *site, chance *rand.Rand) string
}

// Variants of the kinds, as the bench names them.
var (
	killWays    = []string{"", "power", "leader", "seed", "power leader", "leader race drain", "power race drain hard", "leader race drain hard", "meet drain", "leader meet", "power meet race"}
	cutWays     = []string{"", "leader", "one_way", "leader one_way", "refuse", "reset", "leader race", "leader refuse race", "meet", "leader meet hard"}
	ackWays     = []string{"", "kill", "timed", "kill timed"}
	crashWays   = []string{"", "dark", "gone", "dark across", "across", "dark gone"}
	releaseWays = []string{"", "across", "all"}
	configWays  = []string{"route", "weights", "timeout", "tenant", "quota", "idle"}
	badWays     = []string{"cut_short", "unknown_service", "same_place", "no_weight", "no_timeout", "old_version", "stale_match", "shared_key"}
	rollWays    = []string{"", "busy", "remove", "leader", "seed", "meet", "race", "busy hard", "meet drain"}
	clockWays   = []string{"ahead", "back"}
	garbleWays  = []string{"", "extra", "extra late"}
	lostWays    = []string{"", "reset"}
	freezeWays  = []string{"", "leader", "seed", "leader race drain", "meet drain", "leader meet hard"}
)

// allFaultKinds are all kinds of trouble that a day may draw, each with its own figures.
var allFaultKinds = []faultKind{
	{generate: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "burst", class = %q, x = %.1f, for_s = %.1f`, pickOne(chance, from.Classes).Name, uniform(chance, 1.5, 4), uniform(chance, 3, 10))
	}},
	{generate: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "burst", x = %.1f, for_s = %.1f`, uniform(chance, 1.3, 2.5), uniform(chance, 3, 8))
	}},
	{generate: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "shift", share = %.2f, for_s = %.1f`, uniform(chance, 0.3, 1), uniform(chance, 3, 8))
	}},
	{generate: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "srv_crash", service = %q, share = %.2f, for_s = %.1f, how = %q`, pickOne(chance, from.Services).Name, uniform(chance, 0.1, 0.5), uniform(chance, 1, 6), pickOne(chance, crashWays))
	}},
	{planned: true, generate: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "release", service = %q, share = %.2f, x = %d, gap_s = %.1f, how = %q`, pickOne(chance, from.Services).Name, uniform(chance, 0.2, 1), 1+chance.Intn(3), uniform(chance, 0.3, 1.2), pickOne(chance, releaseWays))
	}},
	{planned: true, generate: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "scale_in", share = %.2f`, uniform(chance, 0.1, 0.4))
	}},
	{generate: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "scale_in", how = "spot", service = %q, share = %.2f, x = %.1f`, pickOne(chance, from.Services).Name, uniform(chance, 0.1, 0.4), uniform(chance, 0.5, 3))
	}},
	{generate: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "cold_return", for_s = %.1f, zone = %q, how = %q`, uniform(chance, 0.5, 5), pickOne(chance, from.Zones).Name, pickOne(chance, []string{"", "dark"}))
	}},
	{generate: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "answer_lost", share = %.2f, x = %.2f, for_s = %.1f, how = %q`, uniform(chance, 0.3, 1), uniform(chance, 0.02, 0.2), uniform(chance, 2, 8), pickOne(chance, lostWays))
	}},
	{generate: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "garble", share = %.2f, x = %.2f, for_s = %.1f, how = %q`, uniform(chance, 0.3, 1), uniform(chance, 0.02, 0.2), uniform(chance, 2, 8), pickOne(chance, garbleWays))
	}},
	{disruptive: true, generate: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "node_kill", share = %.2f, for_s = %.1f, how = %q`, uniform(chance, 0.1, 0.6), uniform(chance, 0.3, 4), pickOne(chance, []string{"", "power", "reset"}))
	}},
	{disruptive: true, generate: randomCoreKill}, {disruptive: true, generate: randomCoreKill}, {disruptive: true, generate: randomCoreKill},
	{planned: true, disruptive: true, generate: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "roll_term", share = %.2f, x = %d, gap_s = %.1f, how = %q`, uniform(chance, 0.2, 1), 1+chance.Intn(2), uniform(chance, 0.5, 2), pickOne(chance, rollWays))
	}},
	{planned: true, disruptive: true, generate: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "roll_term", on = "core", share = 1.0, gap_s = %.1f, how = %q`, uniform(chance, 0.5, 2), pickOne(chance, rollWays))
	}},
	{disruptive: true, generate: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "herd_kill", share = %.2f, for_s = %.1f, how = %q`, uniform(chance, 0.3, 1), uniform(chance, 0.3, 3), pickOne(chance, []string{"", "power"}))
	}},
	{disruptive: true, generate: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "herd_kill", on = "core", for_s = %.1f, how = %q`, uniform(chance, 0.3, 2), pickOne(chance, []string{"", "power"}))
	}},
	{disruptive: true, generate: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "after_ack_kill", count = %d, for_s = %.1f, how = %q`, 1+chance.Intn(2), uniform(chance, 0.5, 4), pickOne(chance, ackWays))
	}},
	{disruptive: true, generate: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "after_ack_wipe", for_s = %.1f, how = %q`, uniform(chance, 0.5, 4), pickOne(chance, ackWays))
	}},
	{disruptive: true, generate: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "disk_slow", count = %d, x = %.0f, for_s = %.1f, how = %q`, 1+chance.Intn(2), uniform(chance, 10, 60), uniform(chance, 2, 7), pickOne(chance, []string{"", "leader"}))
	}},
	{disruptive: true, generate: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "disk_stall", count = %d, for_s = %.1f, how = %q`, 1+chance.Intn(2), uniform(chance, 1, 5), pickOne(chance, []string{"", "leader"}))
	}},
	{disruptive: true, generate: randomPartition}, {disruptive: true, generate: randomPartition},
	{disruptive: true, generate: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "node_freeze", on = "core", count = 1, for_s = %.1f, how = %q`, uniform(chance, 0.5, 5), pickOne(chance, freezeWays))
	}},
	{disruptive: true, generate: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "node_freeze", share = %.2f, for_s = %.1f`, uniform(chance, 0.1, 0.5), uniform(chance, 0.5, 5))
	}},
	{disruptive: true, generate: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "clock_step", share = %.2f, x = %.0f, for_s = %.1f, how = %q`, uniform(chance, 0.2, 1), uniform(chance, 500, 5000), uniform(chance, 1, 8), pickOne(chance, clockWays))
	}},
	{planned: true, generate: randomConfigChange}, {planned: true, generate: randomConfigChange},
	{planned: true, generate: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "config_storm", for_s = %.1f, gap_s = %.2f`, uniform(chance, 2, 6), uniform(chance, 0.05, 0.4))
	}},
	{planned: true, generate: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "config_race", count = %d, gap_s = %.2f`, 1+chance.Intn(5), uniform(chance, 0.3, 1.5))
	}},
	{planned: true, generate: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "bad_config", count = %d, gap_s = %.2f, how = %q`, 1+chance.Intn(4), uniform(chance, 0.2, 1), pickOne(chance, badWays))
	}},
	{planned: true, generate: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "big_config", count = %d`, 100+chance.Intn(900))
	}},
	{planned: true, generate: randomEvacuation}, {planned: true, generate: randomEvacuation},
	{planned: true, disruptive: true, generate: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "replace_core", x = %.1f, how = %q`, uniform(chance, 0.5, 3), pickOne(chance, []string{"", "planned", "leader", "planned leader"}))
	}},
	{planned: true, generate: func(from *site, chance *rand.Rand) string { return `kind = "seed_turnover"` }},
}

// randomCoreKill kills machines of the core.
func randomCoreKill(_ *site, chance *rand.Rand) string {
	return fmt.Sprintf(`kind = "node_kill", on = "core", count = 1, for_s = %.1f, how = %q`, uniform(chance, 0.3, 4), pickOne(chance, killWays))
}

// randomPartition cuts a machine of the core off.
func randomPartition(_ *site, chance *rand.Rand) string {
	return fmt.Sprintf(`kind = "core_cut", count = 1, for_s = %.1f, how = %q`, uniform(chance, 1, 6), pickOne(chance, cutWays))
}

// randomConfigChange changes the configuration.
func randomConfigChange(_ *site, chance *rand.Rand) string {
	return fmt.Sprintf(`kind = "config_change", how = %q`, pickOne(chance, configWays))
}

// randomEvacuation empties a zone.
func randomEvacuation(from *site, chance *rand.Rand) string {
	return fmt.Sprintf(`kind = "evacuate", for_s = %.1f, zone = %q, how = %q`, uniform(chance, 2, 9), pickOne(chance, from.Zones).Name, pickOne(chance, []string{"", "warm"}))
}

// randomEnding draws how the day ends.
func randomEnding(chance *rand.Rand) string {
	kind := pickOne(chance, []string{"power_off_all", "wipe_after_ack", "kill_all"})
	how := pickOne(chance, []string{"", "timed", "taken"})
	if kind == "wipe_after_ack" {
		how = pickOne(chance, []string{"", "timed", "aimed"})
	}
	extra := ""
	if how != "" {
		extra = fmt.Sprintf(", how = %q", how)
	}
	return fmt.Sprintf("{ kind = %q, down_s = %.1f%s }", kind, uniform(chance, 0.5, 2), extra)
}

// pickOne draws one of the values.
func pickOne[value any](chance *rand.Rand, values []value) value {
	return values[chance.Intn(len(values))]
}

// uniform draws a figure between two.
func uniform(chance *rand.Rand, least, most float64) float64 {
	return least + chance.Float64()*(most-least)
}
