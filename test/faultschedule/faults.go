package main

import (
	"fmt"
	"math/rand"
)

// faultKind is a kind of fault.
type faultKind struct {
	planned    bool                                       // an operator's or the platform's work, listed under the day's plan
	disruptive bool                                       // it disturbs the core or separates machines
	generate   func(from *site, random *rand.Rand) string // returns a random fault of the kind, as fields of a TOML table
}

// Variants of the faults, by the bench's names.
var (
	killVariants          = []string{"", "power", "leader", "seed", "power leader", "leader race drain", "power race drain hard", "leader race drain hard", "meet drain", "leader meet", "power meet race"}
	partitionVariants     = []string{"", "leader", "one_way", "leader one_way", "refuse", "reset", "leader race", "leader refuse race", "meet", "leader meet hard"}
	ackVariants           = []string{"", "kill", "timed", "kill timed"}
	crashVariants         = []string{"", "dark", "gone", "dark across", "across", "dark gone"}
	releaseVariants       = []string{"", "across", "all"}
	configVariants        = []string{"route", "weights", "timeout", "tenant", "quota", "idle"}
	invalidConfigVariants = []string{"cut_short", "unknown_service", "same_place", "no_weight", "no_timeout", "old_version", "stale_match", "shared_key"}
	rollVariants          = []string{"", "busy", "remove", "leader", "seed", "meet", "race", "busy hard", "meet drain"}
	clockVariants         = []string{"ahead", "back"}
	garbleVariants        = []string{"", "extra", "extra late"}
	lostResponseVariants  = []string{"", "reset"}
	freezeVariants        = []string{"", "leader", "seed", "leader race drain", "meet drain", "leader meet hard"}
)

// allFaultKinds are all kinds of faults that a day may have, with the ranges of their parameters. A kind that is
// listed several times is more likely.
var allFaultKinds = []faultKind{
	{generate: func(from *site, random *rand.Rand) string {
		return fmt.Sprintf(
			`kind = "burst", class = %q, x = %.1f, for_s = %.1f`,
			pickOne(random, from.Classes).Name,
			uniform(random, 1.5, 4),
			uniform(random, 3, 10),
		)
	}},
	{generate: func(from *site, random *rand.Rand) string {
		return fmt.Sprintf(
			`kind = "burst", x = %.1f, for_s = %.1f`,
			uniform(random, 1.3, 2.5),
			uniform(random, 3, 8),
		)
	}},
	{generate: func(from *site, random *rand.Rand) string {
		return fmt.Sprintf(
			`kind = "shift", share = %.2f, for_s = %.1f`,
			uniform(random, 0.3, 1),
			uniform(random, 3, 8),
		)
	}},
	{generate: func(from *site, random *rand.Rand) string {
		return fmt.Sprintf(
			`kind = "srv_crash", service = %q, share = %.2f, for_s = %.1f, how = %q`,
			pickOne(random, from.Services).Name,
			uniform(random, 0.1, 0.5),
			uniform(random, 1, 6),
			pickOne(random, crashVariants),
		)
	}},
	{planned: true, generate: func(from *site, random *rand.Rand) string {
		return fmt.Sprintf(
			`kind = "release", service = %q, share = %.2f, x = %d, gap_s = %.1f, how = %q`,
			pickOne(random, from.Services).Name,
			uniform(random, 0.2, 1),
			1+random.Intn(3),
			uniform(random, 0.3, 1.2),
			pickOne(random, releaseVariants),
		)
	}},
	{planned: true, generate: func(from *site, random *rand.Rand) string {
		return fmt.Sprintf(`kind = "scale_in", share = %.2f`, uniform(random, 0.1, 0.4))
	}},
	{generate: func(from *site, random *rand.Rand) string {
		return fmt.Sprintf(
			`kind = "scale_in", how = "spot", service = %q, share = %.2f, x = %.1f`,
			pickOne(random, from.Services).Name,
			uniform(random, 0.1, 0.4),
			uniform(random, 0.5, 3),
		)
	}},
	{generate: func(from *site, random *rand.Rand) string {
		return fmt.Sprintf(
			`kind = "cold_return", for_s = %.1f, zone = %q, how = %q`,
			uniform(random, 0.5, 5),
			pickOne(random, from.Zones).Name,
			pickOne(random, []string{"", "dark"}),
		)
	}},
	{generate: func(from *site, random *rand.Rand) string {
		return fmt.Sprintf(
			`kind = "answer_lost", share = %.2f, x = %.2f, for_s = %.1f, how = %q`,
			uniform(random, 0.3, 1),
			uniform(random, 0.02, 0.2),
			uniform(random, 2, 8),
			pickOne(random, lostResponseVariants),
		)
	}},
	{generate: func(from *site, random *rand.Rand) string {
		return fmt.Sprintf(
			`kind = "garble", share = %.2f, x = %.2f, for_s = %.1f, how = %q`,
			uniform(random, 0.3, 1),
			uniform(random, 0.02, 0.2),
			uniform(random, 2, 8),
			pickOne(random, garbleVariants),
		)
	}},
	{disruptive: true, generate: func(from *site, random *rand.Rand) string {
		return fmt.Sprintf(
			`kind = "node_kill", share = %.2f, for_s = %.1f, how = %q`,
			uniform(random, 0.1, 0.6),
			uniform(random, 0.3, 4),
			pickOne(random, []string{"", "power", "reset"}),
		)
	}},
	{disruptive: true, generate: randomCoreKill},
	{disruptive: true, generate: randomCoreKill},
	{disruptive: true, generate: randomCoreKill},
	{planned: true, disruptive: true, generate: func(from *site, random *rand.Rand) string {
		return fmt.Sprintf(
			`kind = "roll_term", share = %.2f, x = %d, gap_s = %.1f, how = %q`,
			uniform(random, 0.2, 1),
			1+random.Intn(2),
			uniform(random, 0.5, 2),
			pickOne(random, rollVariants),
		)
	}},
	{planned: true, disruptive: true, generate: func(from *site, random *rand.Rand) string {
		return fmt.Sprintf(
			`kind = "roll_term", on = "core", share = 1.0, gap_s = %.1f, how = %q`,
			uniform(random, 0.5, 2),
			pickOne(random, rollVariants),
		)
	}},
	{disruptive: true, generate: func(from *site, random *rand.Rand) string {
		return fmt.Sprintf(
			`kind = "herd_kill", share = %.2f, for_s = %.1f, how = %q`,
			uniform(random, 0.3, 1),
			uniform(random, 0.3, 3),
			pickOne(random, []string{"", "power"}),
		)
	}},
	{disruptive: true, generate: func(from *site, random *rand.Rand) string {
		return fmt.Sprintf(
			`kind = "herd_kill", on = "core", for_s = %.1f, how = %q`,
			uniform(random, 0.3, 2),
			pickOne(random, []string{"", "power"}),
		)
	}},
	{disruptive: true, generate: func(from *site, random *rand.Rand) string {
		return fmt.Sprintf(
			`kind = "after_ack_kill", count = %d, for_s = %.1f, how = %q`,
			1+random.Intn(2),
			uniform(random, 0.5, 4),
			pickOne(random, ackVariants),
		)
	}},
	{disruptive: true, generate: func(from *site, random *rand.Rand) string {
		return fmt.Sprintf(
			`kind = "after_ack_wipe", for_s = %.1f, how = %q`,
			uniform(random, 0.5, 4),
			pickOne(random, ackVariants),
		)
	}},
	{disruptive: true, generate: func(from *site, random *rand.Rand) string {
		return fmt.Sprintf(
			`kind = "disk_slow", count = %d, x = %.0f, for_s = %.1f, how = %q`,
			1+random.Intn(2),
			uniform(random, 10, 60),
			uniform(random, 2, 7),
			pickOne(random, []string{"", "leader"}),
		)
	}},
	{disruptive: true, generate: func(from *site, random *rand.Rand) string {
		return fmt.Sprintf(
			`kind = "disk_stall", count = %d, for_s = %.1f, how = %q`,
			1+random.Intn(2),
			uniform(random, 1, 5),
			pickOne(random, []string{"", "leader"}),
		)
	}},
	{disruptive: true, generate: randomPartition},
	{disruptive: true, generate: randomPartition},
	{disruptive: true, generate: func(from *site, random *rand.Rand) string {
		return fmt.Sprintf(
			`kind = "node_freeze", on = "core", count = 1, for_s = %.1f, how = %q`,
			uniform(random, 0.5, 5),
			pickOne(random, freezeVariants),
		)
	}},
	{disruptive: true, generate: func(from *site, random *rand.Rand) string {
		return fmt.Sprintf(
			`kind = "node_freeze", share = %.2f, for_s = %.1f`,
			uniform(random, 0.1, 0.5),
			uniform(random, 0.5, 5),
		)
	}},
	{disruptive: true, generate: func(from *site, random *rand.Rand) string {
		return fmt.Sprintf(
			`kind = "clock_step", share = %.2f, x = %.0f, for_s = %.1f, how = %q`,
			uniform(random, 0.2, 1),
			uniform(random, 500, 5000),
			uniform(random, 1, 8),
			pickOne(random, clockVariants),
		)
	}},
	{planned: true, generate: randomConfigChange},
	{planned: true, generate: randomConfigChange},
	{planned: true, generate: func(from *site, random *rand.Rand) string {
		return fmt.Sprintf(
			`kind = "config_storm", for_s = %.1f, gap_s = %.2f`,
			uniform(random, 2, 6),
			uniform(random, 0.05, 0.4),
		)
	}},
	{planned: true, generate: func(from *site, random *rand.Rand) string {
		return fmt.Sprintf(
			`kind = "config_race", count = %d, gap_s = %.2f`,
			1+random.Intn(5),
			uniform(random, 0.3, 1.5),
		)
	}},
	{planned: true, generate: func(from *site, random *rand.Rand) string {
		return fmt.Sprintf(
			`kind = "bad_config", count = %d, gap_s = %.2f, how = %q`,
			1+random.Intn(4),
			uniform(random, 0.2, 1),
			pickOne(random, invalidConfigVariants),
		)
	}},
	{planned: true, generate: func(from *site, random *rand.Rand) string {
		return fmt.Sprintf(`kind = "big_config", count = %d`, 100+random.Intn(900))
	}},
	{planned: true, generate: randomEvacuation},
	{planned: true, generate: randomEvacuation},
	{planned: true, disruptive: true, generate: func(from *site, random *rand.Rand) string {
		return fmt.Sprintf(
			`kind = "replace_core", x = %.1f, how = %q`,
			uniform(random, 0.5, 3),
			pickOne(random, []string{"", "planned", "leader", "planned leader"}),
		)
	}},
	{planned: true, generate: func(from *site, random *rand.Rand) string { return `kind = "seed_turnover"` }},
}

// randomCoreKill kills core machines.
func randomCoreKill(_ *site, random *rand.Rand) string {
	return fmt.Sprintf(
		`kind = "node_kill", on = "core", count = 1, for_s = %.1f, how = %q`,
		uniform(random, 0.3, 4),
		pickOne(random, killVariants),
	)
}

// randomPartition partitions a core machine.
func randomPartition(_ *site, random *rand.Rand) string {
	return fmt.Sprintf(
		`kind = "core_cut", count = 1, for_s = %.1f, how = %q`,
		uniform(random, 1, 6),
		pickOne(random, partitionVariants),
	)
}

// randomConfigChange changes the configuration.
func randomConfigChange(_ *site, random *rand.Rand) string {
	return fmt.Sprintf(`kind = "config_change", how = %q`, pickOne(random, configVariants))
}

// randomEvacuation evacuates a zone.
func randomEvacuation(from *site, random *rand.Rand) string {
	return fmt.Sprintf(
		`kind = "evacuate", for_s = %.1f, zone = %q, how = %q`,
		uniform(random, 2, 9),
		pickOne(random, from.Zones).Name,
		pickOne(random, []string{"", "warm"}),
	)
}

// randomEnding returns how the day ends.
func randomEnding(random *rand.Rand) string {
	kind := pickOne(random, []string{"power_off_all", "wipe_after_ack", "kill_all"})
	how := pickOne(random, []string{"", "timed", "taken"})
	if kind == "wipe_after_ack" {
		how = pickOne(random, []string{"", "timed", "aimed"})
	}
	extra := ""
	if how != "" {
		extra = fmt.Sprintf(", how = %q", how)
	}
	return fmt.Sprintf("{ kind = %q, down_s = %.1f%s }", kind, uniform(random, 0.5, 2), extra)
}

// pickOne returns a random one of the values.
func pickOne[value any](random *rand.Rand, values []value) value {
	return values[random.Intn(len(values))]
}

// uniform returns a uniform random number between two.
func uniform(random *rand.Rand, least, most float64) float64 {
	return least + random.Float64()*(most-least)
}
