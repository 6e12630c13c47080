package baseline

import (
	"math/rand/v2"

	webhookpkg "rowanlink/webhook"
)

// Waits are the pauses before a retry, by its number from zero.
type Waits func(retry int, chance *rand.Rand) webhookpkg.Micros

// None tries again at once.
func None(int, *rand.Rand) webhookpkg.Micros { return 0 }

// Doubled waits a tenth of a second, then twice as long each time, up to ten seconds, without chance.
func Doubled(retry int, _ *rand.Rand) webhookpkg.Micros {
	return min(webhookpkg.Second/10<<min(retry, 20), 10*webhookpkg.Second)
}
