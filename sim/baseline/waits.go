package baseline

import (
	"math/rand/v2"

	"rowanlink/webhook/api"
)

// Waits are the pauses before a retry, by its number from zero.
type Waits func(retry int, chance *rand.Rand) api.Micros

// None tries again at once.
func None(int, *rand.Rand) api.Micros { return 0 }

// Doubled waits a tenth of a second, then twice as long each time, up to ten seconds, without chance.
func Doubled(retry int, _ *rand.Rand) api.Micros {
	return min(api.Second/10<<min(retry, 20), 10*api.Second)
}
