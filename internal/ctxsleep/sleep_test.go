package ctxsleep

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestSleep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		assert.True(t, Sleep(ctx, 0))
		assert.True(t, Sleep(ctx, time.Second))
		assert.Equal(t, time.Second, time.Since(began))
		assert.False(t, Sleep(ctx, time.Hour))
		assert.Equal(t, time.Minute, time.Since(began))
		assert.False(t, Sleep(ctx, 0))
		assert.False(t, Sleep(ctx, time.Hour))
		assert.Equal(t, time.Minute, time.Since(began))
	})
}
