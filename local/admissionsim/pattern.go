package admissionsim

import "time"

// Kind is one kind of streaming request.
type Kind struct {
	Name             string
	Share            float64 // Fraction of all requests.
	PromptTokens     float64 // Mean.
	MeanEvents       int
	FirstEventTarget time.Duration
}

// Pattern is a pattern of arrivals. Kinds are in order of rank, most urgent first.
type Pattern struct {
	Name              string
	Engines           int
	Entries           int
	RequestsPerSecond float64
	// BurstFactor multiplies the rate of the kind with index BurstKindIndex from
	// BurstStart on, for BurstDuration; 0 disables the burst.
	BurstFactor               float64
	BurstKindIndex            int
	BurstStart, BurstDuration time.Duration
	Duration                  time.Duration
	Speeds                    Speeds
	// ReportDelay is how old reports are when they arrive.
	ReportDelay time.Duration
	Kinds       []Kind
}

// typicalKinds are the kinds of the known deployments.
func typicalKinds() []Kind {
	return []Kind{
		{Name: "short", Share: 0.33, PromptTokens: 650, MeanEvents: 12, FirstEventTarget: 250 * time.Millisecond},
		{Name: "long", Share: 0.39, PromptTokens: 1330, MeanEvents: 24, FirstEventTarget: 400 * time.Millisecond},
		{Name: "background", Share: 0.28, PromptTokens: 830, MeanEvents: 24, FirstEventTarget: 800 * time.Millisecond},
	}
}

// Patterns returns the patterns that the policy is designed for. Eleven engines
// serve about 128 requests per second of the typical mix.
func Patterns() []Pattern {
	base := Pattern{Engines: 11, Entries: 5, Duration: 10 * time.Second, Kinds: typicalKinds()}
	calm, flood, burst := base, base, base
	calm.Name, calm.RequestsPerSecond = "calm", 95
	flood.Name, flood.RequestsPerSecond = "steady flood", 165
	burst.Name, burst.RequestsPerSecond = "background burst", 95
	burst.BurstFactor, burst.BurstKindIndex, burst.BurstStart, burst.BurstDuration = 3, 2, 2*time.Second, 5*time.Second
	return []Pattern{calm, flood, burst}
}
