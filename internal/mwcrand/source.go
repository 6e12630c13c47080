// Package mwcrand implements the pseudo-random generator of policies and simulations: lag-1 multiply-with-carry over
// 64-bit words (Marsaglia, 1994). Equal seeds give equal sequences. It is not for cryptographic use.
package mwcrand

import "math/bits"

const (
	// multiplier is that of Vigna's MWC128.
	multiplier = 0xffebb71d94fcdaf9
	// carrySalt makes the initial carry differ from zero for seeds below 2^32.
	carrySalt = 0x9e3779b9
	// warmupRounds is the number of draws that New discards, so that the sequences of similar seeds differ from the
	// first draw on.
	warmupRounds = 8
)

// Source is a generator over 64-bit words. It is not safe for concurrent use.
type Source struct{ x, carry uint64 }

// New returns a generator with the seed.
func New(seed uint64) *Source {
	s := &Source{x: seed, carry: seed>>32 ^ carrySalt}
	for range warmupRounds {
		s.next()
	}
	return s
}

func (s *Source) next() uint64 {
	high, low := bits.Mul64(s.x, multiplier)
	low, carry := bits.Add64(low, s.carry, 0)
	s.x, s.carry = low, high+carry
	return s.x
}

// Float64 returns a uniform draw from [0, 1), with 53 random bits.
func (s *Source) Float64() float64 { return float64(s.next()>>11) / (1 << 53) }
