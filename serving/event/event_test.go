package event

import (
	"bytes"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
)

func TestKind_Log(t *testing.T) {
	var out bytes.Buffer
	log := zerolog.New(&out)
	ProgramStarted.Log(&log).Str("version", "v1").Send()
	assert.JSONEq(t, `{"level":"info","event":110,"message":"program started","version":"v1"}`, out.String())
}

func TestDefine_PanicsForADuplicate(t *testing.T) {
	assert.Panics(t, func() { define(ProgramStarted.Code, zerolog.InfoLevel, "duplicate") })
}
