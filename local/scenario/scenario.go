package scenario

import (
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/settings"
)

// Scenario describes one run of snipestep-local.
type Scenario struct {
	Fleet   Fleet
	Links   Links
	Engines Engines
	Weights Weights
	Load    Load
	Flood   Flood
	Faults  Faults
	Run     Run
}

// Fleet holds the numbers of instances and organisations.
type Fleet struct {
	Regions       int
	ModelReplicas int
	PlainReplicas int
	Entries       int
	Organisations int
}

// Links holds the rates, in megabits per second in each direction, and the one-way
// latency between regions.
type Links struct {
	InstanceMbps  int
	OriginMbps    int
	RegionMbps    int
	RegionLatency time.Duration
}

// Engines configures the fake engines.
type Engines struct {
	Slots           int
	FirstTokenDelay time.Duration
	TokenInterval   time.Duration
	OutputTokens    int
	LoadDuration    time.Duration
	// IgnoreFencingRatio is the fraction of the engines that accept orders with
	// a stale fencing number.
	IgnoreFencingRatio float64
}

// Weights says which weights are pushed and when.
type Weights struct {
	// SizeMB is the size of generated weights in 10^6 bytes; used without Dir.
	SizeMB int
	// Dir holds the files that are pushed; empty for generated weights.
	Dir string
	// PushAt and SecondPushAt are settings.UnsetDuration for no push.
	PushAt       time.Duration
	SecondPushAt time.Duration
}

// Load holds the duration of the load and the rates of the calls, in calls per
// second.
type Load struct {
	Duration      time.Duration
	UrgentRPS     float64
	NormalRPS     float64
	BackgroundRPS float64
	PurchaseRPS   float64
	// LargeShare is the fraction of the calls that large organisations make.
	LargeShare float64
}

// Flood multiplies the rate of one rank by Factor for Duration.
type Flood struct {
	Enabled  bool
	Rank     core.Rank
	Factor   float64
	From     time.Duration
	Duration time.Duration
}

// Faults configures the injected faults.
type Faults struct {
	KillAgents         int
	KillAt             time.Duration
	CorruptChunkRatio  float64
	StallLinks         int
	StoreDownFrom      time.Duration // settings.UnsetDuration for no outage.
	StoreDownFor       time.Duration // settings.UnsetDuration for no outage.
	LoseCASAnswerRatio float64
	PlannedStops       int
	CrashRequests      int
	ResendRatio        float64
}

// Run holds the seed and the policy of the run.
type Run struct {
	Seed   int64
	Policy string
}

// Default returns the scenario with the default of every key.
func Default() (*Scenario, error) {
	s := &Scenario{}
	return s, settings.ApplyDefaults(Schema(s))
}

// LoadFile reads a scenario file. Absent keys have their defaults. It returns
// *settings.Error.
func LoadFile(path string) (*Scenario, error) {
	s := &Scenario{}
	file, err := settings.Load(path, Schema(s))
	if err != nil {
		return nil, err
	}
	if err := s.checkConflicts(file); err != nil {
		return nil, err
	}
	return s, nil
}

// RPS returns the rate of a rank without a flood in calls per second.
func (l Load) RPS(rank core.Rank) float64 {
	return [core.RankCount]float64{l.UrgentRPS, l.NormalRPS, l.BackgroundRPS}[rank]
}

// HasStoreOutage reports whether the key-value service has an outage.
func (f Faults) HasStoreOutage() bool {
	return f.StoreDownFrom != settings.UnsetDuration
}

// ActiveAt reports whether the flood is active at a time from the start of the load.
func (f Flood) ActiveAt(at time.Duration) bool {
	return f.Enabled && at >= f.From && at < f.From+f.Duration
}
