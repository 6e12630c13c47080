// Package event numbers the events that the programs of the serving system log. docs/log-events.md lists every number
// with its message and what to do; a test of serving/catalogue compares the two. Each part of the system has its own
// file with a range of a hundred numbers.
package event

import (
	"sync/atomic"

	"github.com/rs/zerolog"
)

// Code is the number of a kind of event. Numbers are part of the log's format and never change.
type Code uint16

// Kind is a numbered kind of event.
type Kind struct {
	Code    Code
	Level   zerolog.Level
	Message string
}

// kinds holds all kinds by number.
var kinds = map[Code]Kind{}

// define registers a kind. It panics if the number is in use already or isn't below maxCodes.
func define(code Code, level zerolog.Level, message string) Kind {
	if _, exists := kinds[code]; exists || code >= maxCodes {
		panic("event code defined twice or too high")
	}
	kind := Kind{Code: code, Level: level, Message: message}
	kinds[code] = kind
	return kind
}

// All returns all kinds by number. The caller must not change the map.
func All() map[Code]Kind { return kinds }

// counts holds the number of events by code, for metrics.
var counts [maxCodes]atomic.Uint64

// maxCodes bounds the codes: each is below it.
const maxCodes = 1000

// Count returns how often this process has called Log for the kind with a code. Events whose level isn't written to the
// log count too.
func Count(code Code) uint64 { return counts[code].Load() }

// Log starts a log line of the kind. The caller adds fields and writes it with Send.
func (k Kind) Log(log *zerolog.Logger) *zerolog.Event {
	counts[k.Code].Add(1)
	return log.WithLevel(k.Level).Uint16("event", uint16(k.Code)).Str(zerolog.MessageFieldName, k.Message)
}
