package wakeup

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestSignal_MergesWhatIsSentWhilePending(t *testing.T) {
	s := New()
	assert.Empty(t, s)
	s.Send()
	s.Send()
	<-s
	assert.Empty(t, s)
}
