package timeline

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// generatedTimelines is the number of timelines that are checked.
const generatedTimelines = 100_000

// TestGenerate_KeepsLimits counts by itself what the limits say, second by second, in place of calling Check alone.
func TestGenerate_KeepsLimits(t *testing.T) {
	seenKinds := map[Kind]int{}
	overlaps := map[[2]Kind]int{}
	for seed := range uint64(generatedTimelines) {
		generated := Generate(seed, []Size{Small, FiveCores}[seed%2])
		if !assert.NoError(t, generated.Check(), "seed %d", seed) || !assert.Equal(t, "", firstExcess(generated), "seed %d", seed) {
			return
		}
		for _, event := range generated.Events {
			seenKinds[event.Kind]++
			require.LessOrEqual(t, event.End()+event.coreAbsence()+Contact+judgedTime, generated.Length)
		}
		for pair, count := range generated.Overlaps() {
			overlaps[pair] += count
		}
	}
	for _, kind := range kinds {
		assert.Positive(t, seenKinds[kind], kind)
	}
	t.Logf("%d pairs of kinds overlap in %d timelines", len(overlaps), generatedTimelines)
	assert.Positive(t, overlaps[[2]Kind{CutCores, EndpointSignsOff}])
	assert.Positive(t, overlaps[[2]Kind{EndpointSignsOff, SuspendCore}])
	assert.Positive(t, overlaps[[2]Kind{EndpointSignsOff, KillFronts}])
}

// firstExcess returns what is too much at the begin of some event; empty: nothing.
func firstExcess(generated Timeline) string {
	for _, at := range generated.Events {
		lostCores, evacuated := map[int]bool{}, 0
		for _, event := range generated.Events {
			if event.At > at.At {
				continue
			}
			isCoreLoss := slices.Contains([]Kind{KillCore, LoseCoreDisk, SuspendCore, TerminateCore, CutCores}, event.Kind)
			for _, number := range event.Targets {
				if isCoreLoss && at.At <= event.End()+CatchUp {
					lostCores[number] = true
				}
			}
			if event.Kind == Evacuate && at.At <= event.End() {
				evacuated++
			}
		}
		switch {
		case len(lostCores) > generated.Size.CoreLosses:
			return "core losses at " + at.String()
		case evacuated > 1:
			return "evacuations at " + at.String()
		}
	}
	return ""
}

func TestGenerate_DependsOnSeedAlone(t *testing.T) {
	assert.Equal(t, Generate(7, Small), Generate(7, Small))
	assert.NotEqual(t, Generate(7, Small), Generate(8, Small))
}

// TestRead_RestoresWhatWasWritten: also with comments and empty lines between.
func TestRead_RestoresWhatWasWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		generated := Generate(rapid.Uint64().Draw(t, "seed"), Small)
		var text strings.Builder
		require.NoError(t, generated.Write(&text))
		commented := "# generated\n\n" + strings.ReplaceAll(text.String(), "\n", " # as generated\n\n")
		restored, err := Read(strings.NewReader(commented), Small)
		require.NoError(t, err)
		assert.Equal(t, generated, restored)
	})
}

// TestRead_RejectsWithLine: each limit of a single event and each mistake of form alone, in the third line. For limits of
// several events see TestCheck_Pairs.
func TestRead_RejectsWithLine(t *testing.T) {
	for _, test := range []struct {
		line string
		err  error
	}{
		{"2.000 explode targets=1", ErrUnknownKind},
		{"0.500 change-configuration", ErrOrder},
		{"2.000 kill-core targets=1", ErrDuration},
		{"2.000 kill-core for=3.001 targets=1", ErrDuration},
		{"2.000 reload for=1.000 targets=1", ErrDuration},
		{"2.000 kill-core for=1.000", ErrTargets},
		{"2.000 kill-core for=1.000 targets=3", ErrTargets},
		{"2.000 kill-core for=1.000 targets=1,2", ErrTargets},
		{"2.000 cut-cores for=1.000 targets=1,2", ErrLosses},
		{"2.000 cut-cores for=8.001 targets=1", ErrDuration},
		{"2.000 kill-fronts for=1.000 targets=1,1", ErrTargets},
		{"2.000 change-configuration targets=1", ErrTargets},
		{"2.000 kill-core for=1.000 targets=1 core-kills=1 core-outage=0.5", ErrCoreKills},
		{"2.000 change-configuration core-kills=4 core-outage=0.5", ErrCoreKills},
		{"2.000 change-configuration core-kills=1 core-outage=1.001", ErrCoreKills},
		{"2.000 change-configuration core-outage=0.5", ErrCoreKills},
		{"1.500 suspend-agent for=1.000 targets=0", ErrBusy},
		{"16.0 kill-core for=1.000 targets=1", errTooShort},
		{"2.0000 change-configuration", errTime},
		{"-2 change-configuration", errTime},
		{"2.000", errEventForm},
		{"2.000 kill-core for=1.000 for=1.000 targets=1", errField},
		{"2.000 kill-core for=1.000 targets=one", errField},
		{"2.000 kill-core during=1.000 targets=1", errField},
	} {
		_, err := Read(strings.NewReader("length 16\n1.000 suspend-agent for=1.000 targets=0\n"+test.line+"\n"), Small)
		var line *LineError
		if assert.ErrorAs(t, err, &line, test.line) {
			assert.Equal(t, 3, line.Line, test.line)
			assert.ErrorIs(t, err, test.err, test.line)
		}
	}
	_, err := Read(strings.NewReader("# nothing\n"), Small)
	assert.ErrorIs(t, err, errNoLength)
	_, err = Read(strings.NewReader("1.000 change-configuration\n"), Small)
	assert.ErrorIs(t, err, errNoLength)
}

// TestCheck_Pairs: what may follow an event, by the least time that breaks a limit and the least that doesn't.
func TestCheck_Pairs(t *testing.T) {
	const second = time.Second
	for _, test := range []struct {
		name          string
		first, second Event
		allowedFrom   time.Duration // after the begin of the first; negative: always
		err           error
	}{
		{"two cores", Event{Kind: KillCore, For: second, Targets: []int{0}},
			Event{Kind: SuspendCore, For: second, Targets: []int{1}}, second + CatchUp, ErrLosses},
		{"the same core again", Event{Kind: KillCore, For: second, Targets: []int{0}},
			Event{Kind: TerminateCore, For: second, Targets: []int{0}}, second, ErrBusy},
		{"a front and its proxy", Event{Kind: KillFronts, For: second, Targets: []int{0, 2}},
			Event{Kind: SuspendProxy, For: second, Targets: []int{2}}, second, ErrBusy},
		{"a front and another proxy", Event{Kind: KillFronts, For: second, Targets: []int{0, 2}},
			Event{Kind: SuspendProxy, For: second, Targets: []int{1}}, -1, nil},
		{"an agent and a proxy of one machine", Event{Kind: KillAgent, For: second, Targets: []int{0}},
			Event{Kind: SuspendProxy, For: second, Targets: []int{0}}, -1, nil},
		{"two evacuations", Event{Kind: Evacuate, For: second, Targets: []int{0}},
			Event{Kind: Evacuate, For: second, Targets: []int{1}}, second, ErrEvacuations},
		{"a disk is lost after all cores were killed", Event{Kind: ChangeConfiguration, CoreKills: 1, CoreOutage: second},
			Event{Kind: LoseCoreDisk, For: second, Targets: []int{0}},
			MaxAcknowledgement + second + CoreKillPause + CatchUp, ErrLosses},
		{"all cores are killed after a disk was lost", Event{Kind: LoseCoreDisk, For: second, Targets: []int{0}},
			Event{Kind: ChangeConfiguration, CoreKills: 1, CoreOutage: second}, second + CatchUp, ErrLosses},
		{"all cores are killed while one is suspended", Event{Kind: SuspendCore, For: second, Targets: []int{0}},
			Event{Kind: ChangeConfiguration, CoreKills: 1, CoreOutage: second}, -1, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			check := func(after time.Duration) error {
				test.second.At = after
				return Timeline{Size: Small, Events: []Event{test.first, test.second}}.Check()
			}
			require.NoError(t, check(max(0, test.allowedFrom+time.Millisecond)))
			if test.err != nil {
				err := check(test.allowedFrom)
				require.ErrorIs(t, err, test.err)
				var event *EventError
				require.ErrorAs(t, err, &event)
				assert.Equal(t, 2, event.Number)
			}
		})
	}
	again := []Event{{Kind: EndpointCloses, Targets: []int{0}}, {Kind: EndpointSignsOff, At: time.Hour, Targets: []int{0}}}
	assert.ErrorIs(t, Timeline{Size: Small, Events: again}.Check(), ErrDeparted)
}
