package slopes

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math"
	"time"

	"github.com/snipestep/snipestep/local/report"
	"github.com/snipestep/snipestep/local/runner"
	"github.com/snipestep/snipestep/local/scenario"
	"github.com/snipestep/snipestep/settings"
	"github.com/snipestep/snipestep/weights"
)

// The measured sizes.
var (
	agentCounts = []int{16, 32, 64, 128}
	entryCounts = []int{3, 6, 9, 12}
)

const (
	fixedEntries = 8
	fixedAgents  = 32
	stretch      = 5 * time.Second
	callsPerS    = 200
	callTokens   = 10
	pushMB       = 16
	regionMbps   = 100
)

const msPerSecond = 1000

// Options say where the progress of a measurement goes.
type Options struct {
	Progress io.Writer
}

// Measure runs fleets of all sizes, one after the other, and fits the lines.
// It blocks for a few minutes.
func Measure(ctx context.Context, o Options) (*Result, error) {
	result := &Result{}
	for _, agents := range agentCounts {
		result.ByAgents = append(result.ByAgents, Point{Agents: agents, Entries: fixedEntries})
	}
	for _, entries := range entryCounts {
		result.ByEntries = append(result.ByEntries, Point{Agents: fixedAgents, Entries: entries})
	}
	// Pushes come last: their garbage would blur the memory of idle fleets.
	for _, s := range steps {
		if err := s.runAll(ctx, o, result); err != nil {
			return nil, err
		}
	}
	result.fitAll()
	return result, nil
}

// step is one of the measurements of a size.
type step struct {
	name string
	run  func(ctx context.Context, p *Point) error
}

var steps = []step{
	{"idle", measureIdle},
	{"under calls", measureCalls},
	{"in a push", measurePush},
}

// runAll measures every size.
func (s step) runAll(ctx context.Context, o Options, result *Result) error {
	for _, points := range [][]Point{result.ByAgents, result.ByEntries} {
		for i := range points {
			if err := s.run(ctx, &points[i]); err != nil {
				return err
			}
			// A lost progress line changes nothing.
			_, _ = fmt.Fprintf(o.Progress, "%d agents, %d entries %s\n", points[i].Agents, points[i].Entries, s.name)
		}
	}
	return nil
}

// quiet returns a scenario without calls and pushes.
func quiet(p *Point) (*scenario.Scenario, error) {
	s, err := scenario.Default()
	if err != nil {
		return nil, err
	}
	s.Fleet.PlainReplicas = max(1, p.Agents/modelsPerPlain)
	s.Fleet.ModelReplicas = p.Agents - s.Fleet.PlainReplicas
	s.Fleet.Entries = p.Entries
	s.Links.RegionMbps = regionMbps
	s.Weights.PushAt = settings.UnsetDuration
	s.Load = scenario.Load{Duration: stretch}
	s.Engines.OutputTokens = callTokens
	return s, nil
}

// modelsPerPlain is the number of agents of which one serves the plain
// service.
const modelsPerPlain = 4

func run(ctx context.Context, s *scenario.Scenario) (*report.Report, runner.Usage, error) {
	var usage runner.Usage
	got, err := runner.Run(ctx, runner.Options{
		Scenario: s,
		Progress: io.Discard,
		Logger:   slog.New(slog.DiscardHandler),
		Usage:    &usage,
	})
	return got, usage, err
}

func measureIdle(ctx context.Context, p *Point) error {
	s, err := quiet(p)
	if err != nil {
		return err
	}
	got, usage, err := run(ctx, s)
	if err != nil {
		return err
	}
	p.AgentBytesPerS = got.Control.AgentBytesPerSMax
	p.EntryBytesPerS = got.Control.EntryBytesPerSMax
	p.StoreCallsPerS = got.Control.StoreCallsPerS
	p.IdleCores = usage.CPUSeconds / usage.Seconds
	p.HeapBytes = usage.HeapBytes
	p.StackBytes = usage.StackBytes
	p.Goroutines = usage.Goroutines
	return nil
}

func measureCalls(ctx context.Context, p *Point) error {
	s, err := quiet(p)
	if err != nil {
		return err
	}
	s.Load.UrgentRPS = callsPerS / 4
	s.Load.NormalRPS = callsPerS / 2
	s.Load.BackgroundRPS = callsPerS / 4
	got, usage, err := run(ctx, s)
	if err != nil {
		return err
	}
	p.Calls = got.Ranks.Urgent.Answered + got.Ranks.Normal.Answered + got.Ranks.Background.Answered
	p.CPUMSPerCall = p.above(usage) / float64(p.Calls)
	p.FirstTokenP95 = got.Ranks.Urgent.TTFTP95MS
	return nil
}

func measurePush(ctx context.Context, p *Point) error {
	s, err := quiet(p)
	if err != nil {
		return err
	}
	s.Weights.SizeMB = pushMB
	s.Weights.PushAt = 0
	got, usage, err := run(ctx, s)
	if err != nil {
		return err
	}
	chunks := math.Ceil(pushMB * 1e6 / weights.DefaultChunkSize)
	p.CPUMSPerChunk = p.above(usage) / (chunks * float64(s.Fleet.ModelReplicas))
	p.TimeToAllS = got.Weights.TimeToAllS
	p.RatioToIdeal = got.Weights.RatioToIdeal
	p.OriginCopies = got.Weights.OriginCopies
	return nil
}

// above returns the processor time beyond the idle cost in milliseconds.
func (p *Point) above(usage runner.Usage) float64 {
	return (usage.CPUSeconds - p.IdleCores*usage.Seconds) * msPerSecond
}
