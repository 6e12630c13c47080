package inflight

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func FuzzDecodeResult(f *testing.F) {
	f.Add(Result{RequestID: "a.dest=3", Status: StatusRejected, RetryAfter: 5, Attempts: 2, MayHaveRun: true}.Encode())
	f.Add([]byte(`{"message":"w","outcome":"given_up"}`))
	f.Fuzz(func(t *testing.T, stored []byte) {
		result, ok := DecodeResult(stored)
		if ok {
			again, _ := DecodeResult(result.Encode())
			assert.Equal(t, result, again)
		} else if len(stored) >= resultFixedLen {
			assert.NotEqual(t, byte(resultTag), stored[0])
		}
	})
}
