package placesim

import "time"

// Kind is one kind of stream.
type Kind struct {
	Name   string
	Share  float64 // Of all requests.
	Prompt float64 // Mean tokens.
	Events int     // Mean.
	Aim    time.Duration
}

// Pattern is a load. Kinds stand in order of rank, the most urgent first.
type Pattern struct {
	Name    string
	Engines int
	Entries int
	// Rate is the requests a second.
	Rate float64
	// Burst multiplies the rate of the kind BurstKind from BurstFrom on, for
	// BurstFor; 0 stands for none.
	Burst               float64
	BurstKind           int
	BurstFrom, BurstFor time.Duration
	Length              time.Duration
	Kinds               []Kind
}

// usualKinds are the streams of the deployments known.
func usualKinds() []Kind {
	return []Kind{
		{Name: "short", Share: 0.33, Prompt: 650, Events: 12, Aim: 250 * time.Millisecond},
		{Name: "long", Share: 0.39, Prompt: 1330, Events: 24, Aim: 400 * time.Millisecond},
		{Name: "background", Share: 0.28, Prompt: 830, Events: 24, Aim: 800 * time.Millisecond},
	}
}

// Patterns are the loads that the policy is made for. Eleven engines serve
// about 128 requests a second of the usual mix.
func Patterns() []Pattern {
	base := Pattern{Engines: 11, Entries: 5, Length: 10 * time.Second, Kinds: usualKinds()}
	calm, flood, burst := base, base, base
	calm.Name, calm.Rate = "calm", 95
	flood.Name, flood.Rate = "steady flood", 165
	burst.Name, burst.Rate = "background burst", 95
	burst.Burst, burst.BurstKind, burst.BurstFrom, burst.BurstFor = 3, 2, 2*time.Second, 5*time.Second
	return []Pattern{calm, flood, burst}
}
