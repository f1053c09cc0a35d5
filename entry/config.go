package entry

import (
	"time"

	"github.com/snipestep/snipestep/claim"
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
	"github.com/snipestep/snipestep/internal/heldbytes"
)

// Config is the configuration of an entry. Zero values select the defaults.
type Config struct {
	Instance core.Instance
	// Incarnation grows with each start of the process; 0 selects the current
	// time.
	Incarnation uint64
	// HTTPAddr is the IP:port that serves callers and operators.
	HTTPAddr string
	FleetKey []byte
	// OperatorTokenDigests are hexadecimal digests of operators' tokens.
	OperatorTokenDigests []string
	// InitialDocument becomes generation 1 if the key-value service holds no
	// configuration.
	InitialDocument *fleet.Document
	OriginRegion    string
	// Policy is core.PolicySnipestep, which is the default, or
	// core.PolicyBaseline.
	Policy string
	// SubsetSize is the number of agents of each service that the entry keeps
	// sessions with; small fleets of entries use more.
	SubsetSize int
	// MaxWaiting bounds the calls that wait for an endpoint, per target.
	MaxWaiting int
	// MaxBody bounds a caller's request body, in bytes.
	MaxBody int64
	// CallerMemory and MaxConns bound what callers hold, see ingress.Config; 0 means the defaults.
	CallerMemory, MaxConns int
	// CallTimeout bounds a call, counted from its arrival.
	CallTimeout time.Duration
	// AnswerBytes bounds the memory for the answers of all calls together.
	AnswerBytes int
	// ClaimShards is the number of claim logs; it must be equal at every entry.
	ClaimShards int
	// HeaderTimeout bounds the time to read a request's header.
	HeaderTimeout time.Duration
	// ShutdownGrace bounds the wait for running calls at a graceful shutdown.
	ShutdownGrace time.Duration
}

const (
	defaultSubsetSize    = 20
	defaultMaxWaiting    = 256
	defaultMaxBody       = 1 << 20
	defaultCallTimeout   = 60 * time.Second
	defaultHeaderTimeout = 5 * time.Second
	defaultShutdownGrace = 30 * time.Second
)

func (c Config) withDefaults(now time.Time) Config {
	if c.Incarnation == 0 {
		c.Incarnation = uint64(now.UnixNano())
	}
	if c.Policy == "" {
		c.Policy = core.PolicySnipestep
	}
	c.SubsetSize = orDefault(c.SubsetSize, defaultSubsetSize)
	c.MaxWaiting = orDefault(c.MaxWaiting, defaultMaxWaiting)
	c.MaxBody = orDefault(c.MaxBody, defaultMaxBody)
	c.CallTimeout = orDefault(c.CallTimeout, defaultCallTimeout)
	c.AnswerBytes = orDefault(c.AnswerBytes, heldbytes.DefaultLimit)
	c.ClaimShards = orDefault(c.ClaimShards, claim.DefaultShards)
	c.HeaderTimeout = orDefault(c.HeaderTimeout, defaultHeaderTimeout)
	c.ShutdownGrace = orDefault(c.ShutdownGrace, defaultShutdownGrace)
	return c
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
