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

// The measured fleet sizes.
var (
	agentCounts = []int{16, 32, 64, 128}
	entryCounts = []int{3, 6, 9, 12}
)

const (
	fixedEntries   = 8
	fixedAgents    = 32
	loadDuration   = 5 * time.Second
	callsPerSecond = 200
	outputTokens   = 10
	pushSizeMB     = 16
	regionMbps     = 100
)

const msPerSecond = 1000

// Options configures a measurement.
type Options struct {
	// Progress receives one line for each measurement.
	Progress io.Writer
}

// Measure runs fleets of all sizes, one after the other, and fits the lines. It
// blocks for a few minutes.
func Measure(ctx context.Context, options Options) (*Result, error) {
	result := &Result{}
	for _, agents := range agentCounts {
		result.ByAgents = append(result.ByAgents, Point{Agents: agents, Entries: fixedEntries})
	}
	for _, entries := range entryCounts {
		result.ByEntries = append(result.ByEntries, Point{Agents: fixedAgents, Entries: entries})
	}
	// Pushes run last: the garbage that they leave would distort the memory measured
	// for idle fleets.
	for _, m := range measurements {
		if err := m.runAll(ctx, options, result); err != nil {
			return nil, err
		}
	}
	result.fitAll()
	return result, nil
}

// measurement measures a fleet of one size under one condition.
type measurement struct {
	condition string
	measure   func(ctx context.Context, p *Point) error
}

var measurements = []measurement{
	{"idle", measureIdle},
	{"under calls", measureCalls},
	{"in a push", measurePush},
}

// runAll takes the measurement at every size.
func (m measurement) runAll(ctx context.Context, options Options, result *Result) error {
	for _, points := range [][]Point{result.ByAgents, result.ByEntries} {
		for i := range points {
			if err := m.measure(ctx, &points[i]); err != nil {
				return err
			}
			// Progress is best effort.
			_, _ = fmt.Fprintf(options.Progress, "%d agents, %d entries %s\n", points[i].Agents, points[i].Entries, m.condition)
		}
	}
	return nil
}

// idleScenario returns a scenario without calls and pushes.
func idleScenario(p *Point) (*scenario.Scenario, error) {
	s, err := scenario.Default()
	if err != nil {
		return nil, err
	}
	s.Fleet.PlainReplicas = max(1, p.Agents/agentsPerPlainReplica)
	s.Fleet.ModelReplicas = p.Agents - s.Fleet.PlainReplicas
	s.Fleet.Entries = p.Entries
	s.Links.RegionMbps = regionMbps
	s.Weights.PushAt = settings.UnsetDuration
	s.Load = scenario.Load{Duration: loadDuration}
	s.Engines.OutputTokens = outputTokens
	return s, nil
}

// One agent in agentsPerPlainReplica serves the plain service.
const agentsPerPlainReplica = 4

func runScenario(ctx context.Context, s *scenario.Scenario) (*report.Report, runner.Usage, error) {
	var usage runner.Usage
	result, err := runner.Run(ctx, runner.Options{
		Scenario: s,
		Progress: io.Discard,
		Logger:   slog.New(slog.DiscardHandler),
		Usage:    &usage,
	})
	return result, usage, err
}

func measureIdle(ctx context.Context, p *Point) error {
	s, err := idleScenario(p)
	if err != nil {
		return err
	}
	result, usage, err := runScenario(ctx, s)
	if err != nil {
		return err
	}
	p.AgentBytesPerS = result.Control.AgentBytesPerSMax
	p.EntryBytesPerS = result.Control.EntryBytesPerSMax
	p.StoreCallsPerS = result.Control.StoreCallsPerS
	p.IdleCores = usage.CPUSeconds / usage.Seconds
	p.HeapBytes = usage.HeapBytes
	p.StackBytes = usage.StackBytes
	p.Goroutines = usage.Goroutines
	return nil
}

func measureCalls(ctx context.Context, p *Point) error {
	s, err := idleScenario(p)
	if err != nil {
		return err
	}
	s.Load.UrgentRPS = callsPerSecond / 4
	s.Load.NormalRPS = callsPerSecond / 2
	s.Load.BackgroundRPS = callsPerSecond / 4
	result, usage, err := runScenario(ctx, s)
	if err != nil {
		return err
	}
	p.Calls = result.Ranks.Urgent.Answered + result.Ranks.Normal.Answered + result.Ranks.Background.Answered
	p.CPUMSPerCall = p.cpuMSAboveIdle(usage) / float64(p.Calls)
	p.UrgentTTFTP95MS = result.Ranks.Urgent.TTFTP95MS
	return nil
}

func measurePush(ctx context.Context, p *Point) error {
	s, err := idleScenario(p)
	if err != nil {
		return err
	}
	s.Weights.SizeMB = pushSizeMB
	s.Weights.PushAt = 0
	result, usage, err := runScenario(ctx, s)
	if err != nil {
		return err
	}
	chunks := math.Ceil(pushSizeMB * 1e6 / weights.DefaultChunkSize)
	p.CPUMSPerChunk = p.cpuMSAboveIdle(usage) / (chunks * float64(s.Fleet.ModelReplicas))
	p.TimeToAllS = result.Weights.TimeToAllS
	p.RatioToIdeal = result.Weights.RatioToIdeal
	p.OriginCopies = result.Weights.OriginCopies
	return nil
}

// cpuMSAboveIdle returns the processor time above that of the idle fleet in
// milliseconds.
func (p *Point) cpuMSAboveIdle(usage runner.Usage) float64 {
	return (usage.CPUSeconds - p.IdleCores*usage.Seconds) * msPerSecond
}
