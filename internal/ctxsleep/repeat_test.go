package ctxsleep

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestRepeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
		defer cancel()
		began, calls := time.Now(), 0
		Repeat(ctx, time.Second, func() { calls++ })
		assert.Equal(t, 3, calls)
		assert.Equal(t, 3500*time.Millisecond, time.Since(began))
	})
}
