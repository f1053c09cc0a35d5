package places

import (
	"math/rand/v2"
	"time"
)

// Config sets a Pool. Zero values take their defaults.
type Config struct {
	// Region is where the entry runs.
	Region string
	// Reported says that agents report the load of the endpoints.
	Reported bool
	// ReportAge is how long a report counts. By default three of an agent's
	// reports may be lost, or it is a second for what answers tell.
	ReportAge time.Duration
	// ReportLag is how long a request may be on its way, with a new connection
	// and behind chunks on the link, before reports count it.
	ReportLag time.Duration
	// ReadRate is how many prompt tokens an endpoint reads a second, 0 where
	// there are no prompts.
	ReadRate float64
	// Overfill is how many requests beyond its slots an endpoint may get.
	Overfill int
	// Hold is the mean time that a request keeps a place until it is measured.
	Hold time.Duration
	// Rand spreads choices between entries.
	Rand *rand.Rand
}

const (
	reportAge       = 700 * time.Millisecond
	answerAge       = time.Second
	reportLag       = 50 * time.Millisecond
	defaultHold     = time.Second
	defaultOverfill = 6 // A quarter of the queue of the plain services seen.
)

func (c *Config) setDefaults() {
	if c.ReportAge == 0 {
		c.ReportAge = answerAge
		if c.Reported {
			c.ReportAge = reportAge
		}
	}
	if c.ReportLag == 0 {
		c.ReportLag = reportLag
	}
	if c.Overfill == 0 && !c.Reported {
		c.Overfill = defaultOverfill
	}
	if c.Hold == 0 {
		c.Hold = defaultHold
	}
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(1, 1))
	}
}
