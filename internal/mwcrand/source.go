// Package mwcrand is the multiply-with-carry generator behind every draw of chance.
package mwcrand

import "math/bits"

const multiplier = 0xffebb71d94fcdaf9

// Source is a lag-1 multiply-with-carry generator over 64-bit words.
type Source struct{ x, carry uint64 }

// New starts a generator from an instance's seed.
func New(seed uint64) *Source {
	s := &Source{x: seed, carry: seed>>32 ^ 0x9e3779b9}
	for range 8 { // near seeds part ways before the first draw is used
		s.next()
	}
	return s
}

func (s *Source) next() uint64 {
	hi, lo := bits.Mul64(s.x, multiplier)
	lo, c := bits.Add64(lo, s.carry, 0)
	s.x, s.carry = lo, hi+c
	return s.x
}

// Float64 returns an even draw from [0, 1).
func (s *Source) Float64() float64 { return float64(s.next()>>11) / (1 << 53) }
