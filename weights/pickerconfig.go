package weights

import (
	"time"

	"github.com/snipestep/snipestep/core"
)

// PickerConfig configures a Picker. Zero limits take their defaults.
type PickerConfig struct {
	Self         Target
	OriginRegion string
	Manifest     core.Digest
	Chunks       int
	Seed         uint64

	// Neighbours is the number of random peers of the own region to watch.
	Neighbours int
	// PeerRequests is the number of chunks requested from neighbours at once.
	PeerRequests int
	// RequestsPerPeer is the number of chunks requested from one neighbour
	// at once.
	RequestsPerPeer int
	// OriginFetchers is the number of instances that draw on the origin while
	// none of them fails, 0 for all fetchers.
	OriginFetchers int
	// OriginRequests is the number of chunks requested from the origin and
	// the store at once.
	OriginRequests int
	// RegionRequests is the number of chunks that a region's fetchers
	// request together from another region at once.
	RegionRequests int

	// RefusedRetry is how long a chunk is not requested again from the peer
	// that refused it. It doubles with each refusal.
	RefusedRetry time.Duration
	// MaxRefusedRetry bounds the growth of RefusedRetry.
	MaxRefusedRetry time.Duration
	// UrgentAfter is the time from the first refusal of a chunk after which
	// its requests are urgent.
	UrgentAfter time.Duration
	// MissingRetry is the pause of a chunk after a peer did not get it.
	MissingRetry time.Duration
	// DownTime is how long a lost peer is left out. It doubles with each loss
	// without an answer in between.
	DownTime time.Duration
	// BanTime is how long a peer that sent a corrupt chunk is left out. It
	// doubles with each one in a row.
	BanTime time.Duration
	// MaxBanTime bounds the growth of BanTime.
	MaxBanTime time.Duration
	// SuspectTime is how long a fetcher that another one replaced is not
	// relied on.
	SuspectTime time.Duration
	// SourceRetry is the pause of the origin or the store after a failure.
	// It doubles with each failure in a row.
	SourceRetry time.Duration
	// StartGrace is how long a watched fetcher may take to join before the
	// next one replaces it.
	StartGrace time.Duration
	// FallbackDelay is how long nothing new may appear in the region before
	// the second fetcher of a chunk acts. It doubles with each position.
	FallbackDelay time.Duration
	// EndgameAfter is the age of a request that is doubled when nothing
	// else is left to request.
	EndgameAfter time.Duration
	// SlowAfter is the age of a request that is doubled at any time.
	SlowAfter time.Duration
	// LastResortDelay is how long nothing new may appear before a region
	// that has sources elsewhere draws on the origin.
	LastResortDelay time.Duration
}

func (c *PickerConfig) setDefaults() {
	setDefault(&c.Neighbours, 8)
	setDefault(&c.PeerRequests, 8)
	setDefault(&c.RequestsPerPeer, 3)
	setDefault(&c.OriginRequests, 4)
	setDefault(&c.RegionRequests, 8)
	setDefault(&c.RefusedRetry, 120*time.Millisecond)
	setDefault(&c.MaxRefusedRetry, 240*time.Millisecond)
	setDefault(&c.UrgentAfter, 500*time.Millisecond)
	setDefault(&c.MissingRetry, 100*time.Millisecond)
	setDefault(&c.DownTime, 5*time.Second)
	setDefault(&c.BanTime, 500*time.Millisecond)
	setDefault(&c.MaxBanTime, time.Minute)
	setDefault(&c.SuspectTime, 10*time.Second)
	setDefault(&c.SourceRetry, time.Second)
	setDefault(&c.StartGrace, 1500*time.Millisecond)
	setDefault(&c.FallbackDelay, 3*time.Second)
	setDefault(&c.EndgameAfter, 400*time.Millisecond)
	setDefault(&c.SlowAfter, 3*time.Second)
	setDefault(&c.LastResortDelay, 10*time.Second)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
