package scenario

import (
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/settings"
)

// Scenario is one run of snipestep-local.
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

// Fleet is the number of instances and organisations.
type Fleet struct {
	Regions       int
	ModelReplicas int
	PlainReplicas int
	Entries       int
	Organisations int
}

// Links are rates in megabits a second, each way, and one-way latency.
type Links struct {
	InstanceMbps  int
	OriginMbps    int
	RegionMbps    int
	RegionLatency time.Duration
}

// Engines is how fast the fake engines are.
type Engines struct {
	Slots        int
	FirstToken   time.Duration
	Token        time.Duration
	OutputTokens int
	Load         time.Duration
	// IgnoreFencingRatio is the part of the engines that take orders with
	// an old fencing number.
	IgnoreFencingRatio float64
}

// Weights is what is pushed and when.
type Weights struct {
	// SizeMB is the size of made weights in 10^6 bytes, without Dir.
	SizeMB int
	// Dir holds the files that are pushed; empty for made weights.
	Dir string
	// PushAt and SecondPushAt are settings.Unset for no push.
	PushAt       time.Duration
	SecondPushAt time.Duration
}

// Load is what the callers ask for, in calls a second.
type Load struct {
	Duration      time.Duration
	UrgentRPS     float64
	NormalRPS     float64
	BackgroundRPS float64
	PurchaseRPS   float64
	// LargeShare is the part of the calls that large organisations make.
	LargeShare float64
}

// Flood multiplies the rate of one rank for a while.
type Flood struct {
	// On says whether there is a flood.
	On     bool
	Rank   core.Rank
	Factor float64
	From   time.Duration
	For    time.Duration
}

// Faults is what fails.
type Faults struct {
	KillAgents         int
	KillAt             time.Duration
	CorruptChunkRatio  float64
	StallLinks         int
	StoreDownFrom      time.Duration // settings.Unset for no outage.
	StoreDownFor       time.Duration // settings.Unset for no outage.
	LoseCASAnswerRatio float64
	PlannedStops       int
	CrashRequests      int
	ResendRatio        float64
}

// Run holds the seed and the policy.
type Run struct {
	Seed   int64
	Policy string
}

// Default returns the scenario without any key given.
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
	if err := s.check(file); err != nil {
		return nil, err
	}
	return s, nil
}

// RPS returns the rate of a rank outside a flood in calls a second.
func (l Load) RPS(rank core.Rank) float64 {
	return [core.RankCount]float64{l.UrgentRPS, l.NormalRPS, l.BackgroundRPS}[rank]
}

// StoreDown reports whether the scenario has an outage of the key-value
// service.
func (f Faults) StoreDown() bool {
	return f.StoreDownFrom != settings.UnsetDuration
}

// During reports whether the flood runs at a time since the start of the
// load.
func (f Flood) During(at time.Duration) bool {
	return f.On && at >= f.From && at < f.From+f.For
}
