package main

import (
	"fmt"
	"math/rand"
)

// kind is one kind of trouble.
type kind struct {
	planned bool
	shakes  bool // it makes the core unsettled, or machines lose touch
	draw    func(from *site, chance *rand.Rand) string
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

// kinds are all kinds of trouble that a day may draw, each with its own figures.
var kinds = []kind{
	{draw: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "burst", class = %q, x = %.1f, for_s = %.1f`, pick(chance, from.Classes).Name, within(chance, 1.5, 4), within(chance, 3, 10))
	}},
	{draw: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "burst", x = %.1f, for_s = %.1f`, within(chance, 1.3, 2.5), within(chance, 3, 8))
	}},
	{draw: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "shift", share = %.2f, for_s = %.1f`, within(chance, 0.3, 1), within(chance, 3, 8))
	}},
	{draw: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "srv_crash", service = %q, share = %.2f, for_s = %.1f, how = %q`, pick(chance, from.Services).Name, within(chance, 0.1, 0.5), within(chance, 1, 6), pick(chance, crashWays))
	}},
	{planned: true, draw: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "release", service = %q, share = %.2f, x = %d, gap_s = %.1f, how = %q`, pick(chance, from.Services).Name, within(chance, 0.2, 1), 1+chance.Intn(3), within(chance, 0.3, 1.2), pick(chance, releaseWays))
	}},
	{planned: true, draw: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "scale_in", share = %.2f`, within(chance, 0.1, 0.4))
	}},
	{draw: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "scale_in", how = "spot", service = %q, share = %.2f, x = %.1f`, pick(chance, from.Services).Name, within(chance, 0.1, 0.4), within(chance, 0.5, 3))
	}},
	{draw: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "cold_return", for_s = %.1f, zone = %q, how = %q`, within(chance, 0.5, 5), pick(chance, from.Zones).Name, pick(chance, []string{"", "dark"}))
	}},
	{draw: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "answer_lost", share = %.2f, x = %.2f, for_s = %.1f, how = %q`, within(chance, 0.3, 1), within(chance, 0.02, 0.2), within(chance, 2, 8), pick(chance, lostWays))
	}},
	{draw: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "garble", share = %.2f, x = %.2f, for_s = %.1f, how = %q`, within(chance, 0.3, 1), within(chance, 0.02, 0.2), within(chance, 2, 8), pick(chance, garbleWays))
	}},
	{shakes: true, draw: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "node_kill", share = %.2f, for_s = %.1f, how = %q`, within(chance, 0.1, 0.6), within(chance, 0.3, 4), pick(chance, []string{"", "power", "reset"}))
	}},
	{shakes: true, draw: drawCoreKill}, {shakes: true, draw: drawCoreKill}, {shakes: true, draw: drawCoreKill},
	{planned: true, shakes: true, draw: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "roll_term", share = %.2f, x = %d, gap_s = %.1f, how = %q`, within(chance, 0.2, 1), 1+chance.Intn(2), within(chance, 0.5, 2), pick(chance, rollWays))
	}},
	{planned: true, shakes: true, draw: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "roll_term", on = "core", share = 1.0, gap_s = %.1f, how = %q`, within(chance, 0.5, 2), pick(chance, rollWays))
	}},
	{shakes: true, draw: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "herd_kill", share = %.2f, for_s = %.1f, how = %q`, within(chance, 0.3, 1), within(chance, 0.3, 3), pick(chance, []string{"", "power"}))
	}},
	{shakes: true, draw: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "herd_kill", on = "core", for_s = %.1f, how = %q`, within(chance, 0.3, 2), pick(chance, []string{"", "power"}))
	}},
	{shakes: true, draw: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "after_ack_kill", count = %d, for_s = %.1f, how = %q`, 1+chance.Intn(2), within(chance, 0.5, 4), pick(chance, ackWays))
	}},
	{shakes: true, draw: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "after_ack_wipe", for_s = %.1f, how = %q`, within(chance, 0.5, 4), pick(chance, ackWays))
	}},
	{shakes: true, draw: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "disk_slow", count = %d, x = %.0f, for_s = %.1f, how = %q`, 1+chance.Intn(2), within(chance, 10, 60), within(chance, 2, 7), pick(chance, []string{"", "leader"}))
	}},
	{shakes: true, draw: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "disk_stall", count = %d, for_s = %.1f, how = %q`, 1+chance.Intn(2), within(chance, 1, 5), pick(chance, []string{"", "leader"}))
	}},
	{shakes: true, draw: drawCut}, {shakes: true, draw: drawCut},
	{shakes: true, draw: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "node_freeze", on = "core", count = 1, for_s = %.1f, how = %q`, within(chance, 0.5, 5), pick(chance, freezeWays))
	}},
	{shakes: true, draw: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "node_freeze", share = %.2f, for_s = %.1f`, within(chance, 0.1, 0.5), within(chance, 0.5, 5))
	}},
	{shakes: true, draw: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "clock_step", share = %.2f, x = %.0f, for_s = %.1f, how = %q`, within(chance, 0.2, 1), within(chance, 500, 5000), within(chance, 1, 8), pick(chance, clockWays))
	}},
	{planned: true, draw: drawConfigChange}, {planned: true, draw: drawConfigChange},
	{planned: true, draw: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "config_storm", for_s = %.1f, gap_s = %.2f`, within(chance, 2, 6), within(chance, 0.05, 0.4))
	}},
	{planned: true, draw: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "config_race", count = %d, gap_s = %.2f`, 1+chance.Intn(5), within(chance, 0.3, 1.5))
	}},
	{planned: true, draw: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "bad_config", count = %d, gap_s = %.2f, how = %q`, 1+chance.Intn(4), within(chance, 0.2, 1), pick(chance, badWays))
	}},
	{planned: true, draw: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "big_config", count = %d`, 100+chance.Intn(900))
	}},
	{planned: true, draw: drawEvacuation}, {planned: true, draw: drawEvacuation},
	{planned: true, shakes: true, draw: func(from *site, chance *rand.Rand) string {
		return fmt.Sprintf(`kind = "replace_core", x = %.1f, how = %q`, within(chance, 0.5, 3), pick(chance, []string{"", "planned", "leader", "planned leader"}))
	}},
	{planned: true, draw: func(from *site, chance *rand.Rand) string { return `kind = "seed_turnover"` }},
}

// drawCoreKill kills machines of the core.
func drawCoreKill(_ *site, chance *rand.Rand) string {
	return fmt.Sprintf(`kind = "node_kill", on = "core", count = 1, for_s = %.1f, how = %q`, within(chance, 0.3, 4), pick(chance, killWays))
}

// drawCut cuts a machine of the core off.
func drawCut(_ *site, chance *rand.Rand) string {
	return fmt.Sprintf(`kind = "core_cut", count = 1, for_s = %.1f, how = %q`, within(chance, 1, 6), pick(chance, cutWays))
}

// drawConfigChange changes the configuration.
func drawConfigChange(_ *site, chance *rand.Rand) string {
	return fmt.Sprintf(`kind = "config_change", how = %q`, pick(chance, configWays))
}

// drawEvacuation empties a zone.
func drawEvacuation(from *site, chance *rand.Rand) string {
	return fmt.Sprintf(`kind = "evacuate", for_s = %.1f, zone = %q, how = %q`, within(chance, 2, 9), pick(chance, from.Zones).Name, pick(chance, []string{"", "warm"}))
}

// drawClosing draws how the day ends.
func drawClosing(chance *rand.Rand) string {
	kind := pick(chance, []string{"power_off_all", "wipe_after_ack", "kill_all"})
	how := pick(chance, []string{"", "timed", "taken"})
	if kind == "wipe_after_ack" {
		how = pick(chance, []string{"", "timed", "aimed"})
	}
	extra := ""
	if how != "" {
		extra = fmt.Sprintf(", how = %q", how)
	}
	return fmt.Sprintf("{ kind = %q, down_s = %.1f%s }", kind, within(chance, 0.5, 2), extra)
}

// pick draws one of the values.
func pick[value any](chance *rand.Rand, values []value) value {
	return values[chance.Intn(len(values))]
}

// within draws a figure between two.
func within(chance *rand.Rand, least, most float64) float64 {
	return least + chance.Float64()*(most-least)
}
