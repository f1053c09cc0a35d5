package admission

import (
	"math/rand/v2"
	"time"
)

// Config configures a Pool. Zero values select the defaults.
type Config struct {
	// Region is the region of the entry.
	Region string
	// AgentReports says that agents, not responses, report the load of endpoints.
	AgentReports bool
	// ProbesEndpoints says that the endpoints of Pool.DueProbes are probed. Otherwise unresponsive ones
	// get one request at a time.
	ProbesEndpoints bool
	// MaxReportAge is the age above which a report is ignored. The default allows
	// for three lost reports of an agent, and is a second for load that
	// responses carry.
	MaxReportAge time.Duration
	// ReportLag is how long a request may be in transit, with a new connection
	// and behind chunks on the link, before reports count it.
	ReportLag time.Duration
	// PrefillTokensPerSecond is the prefill throughput of an endpoint, 0 for
	// services without prompts.
	PrefillTokensPerSecond float64
	// Oversubscription is how many requests an endpoint may get beyond its slots.
	Oversubscription int
	// InitialServiceTime is the assumed mean time that a request occupies a slot
	// until it has been measured.
	InitialServiceTime time.Duration
	// UseSlowdown says that the figures of how slow endpoints are count in the expected delay and
	// in the release rate. Otherwise an endpoint that its agent reports as slow is the last choice.
	UseSlowdown bool
	// Locality configures when requests are sent outside the failure domain of the entry.
	Locality LocalityConfig
	// Rand adds jitter to the choice, so that entries choose different endpoints.
	Rand *rand.Rand
}

// LocalityConfig configures when requests are sent outside the failure domain of the entry.
type LocalityConfig struct {
	// Enabled makes the pool decide by waits, offers and costs. Otherwise other regions have a fixed
	// delay. It has an effect only where agents report the load.
	Enabled bool
	// FailureDomain is that of the entry.
	FailureDomain string
	// PricePerKB is the wait that a kilobyte to another failure domain is worth.
	PricePerKB time.Duration
}

const (
	defaultAgentReportAge    = 700 * time.Millisecond
	defaultResponseReportAge = time.Second
	defaultReportLag         = 50 * time.Millisecond
	defaultServiceTime       = time.Second
	defaultOversubscription  = 6 // A quarter of the queue of known services without a model.
)

func (c *Config) setDefaults() {
	if c.MaxReportAge == 0 {
		c.MaxReportAge = defaultResponseReportAge
		if c.AgentReports {
			c.MaxReportAge = defaultAgentReportAge
		}
	}
	if c.ReportLag == 0 {
		c.ReportLag = defaultReportLag
	}
	if c.Oversubscription == 0 && !c.AgentReports {
		c.Oversubscription = defaultOversubscription
	}
	if c.InitialServiceTime == 0 {
		c.InitialServiceTime = defaultServiceTime
	}
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(1, 1))
	}
}
