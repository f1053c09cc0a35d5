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

	// Neighbours is the number of pseudo-random peers of the local region to
	// watch.
	Neighbours int
	// PeerRequests is the number of chunks requested from neighbours at once.
	PeerRequests int
	// RequestsPerPeer is the number of chunks requested from one neighbour
	// at once.
	RequestsPerPeer int
	// OriginFetchers is the number of instances that fetch from the origin
	// while none of them fails, 0 for all fetchers.
	OriginFetchers int
	// OriginRequests is the number of chunks requested from the origin and
	// the store at once.
	OriginRequests int
	// RegionRequests is the number of chunks that a region's fetchers
	// request together from another region at once.
	RegionRequests int

	// RefusalBackoff is how long a chunk is not requested again from a peer
	// that refused it. It doubles with each refusal.
	RefusalBackoff time.Duration
	// MaxRefusalBackoff limits the growth of RefusalBackoff.
	MaxRefusalBackoff time.Duration
	// UrgentAfter is the time from the first refusal of a chunk after which
	// its requests are urgent.
	UrgentAfter time.Duration
	// MissingBackoff is how long a chunk that no neighbour holds is not
	// requested again after a peer failed to obtain it.
	MissingBackoff time.Duration
	// LostPeerBackoff is how long a lost peer is not used. It doubles with
	// each loss without an answer in between.
	LostPeerBackoff time.Duration
	// BanTime is how long a peer that sent a corrupt chunk is not used. It
	// doubles with each consecutive corrupt chunk.
	BanTime time.Duration
	// MaxBanTime limits the growth of BanTime.
	MaxBanTime time.Duration
	// SuspectTime is how long a fetcher counts as unavailable after another one
	// took over from it.
	SuspectTime time.Duration
	// SourceBackoff is how long the origin or the store is not used after a
	// failure. It doubles with each consecutive failure.
	SourceBackoff time.Duration
	// JoinGrace is how long a watched fetcher may take to join before the
	// next one takes over from it.
	JoinGrace time.Duration
	// FallbackDelay is the time without progress in the region after which
	// the second fetcher of a chunk takes over. The time that each further rank
	// adds doubles.
	FallbackDelay time.Duration
	// TakeoverBackoff is how long an instance does not take over from other fetchers
	// after the origin has failed for it too.
	TakeoverBackoff time.Duration
	// EndgameHedgeAfter is the age at which a request is hedged when nothing
	// else is left to request.
	EndgameHedgeAfter time.Duration
	// HedgeAfter is the age at which a request is hedged at any time.
	HedgeAfter time.Duration
	// OriginFallbackDelay is the time without progress after which a region
	// that has sources in other regions fetches from the origin.
	OriginFallbackDelay time.Duration
}

func (c *PickerConfig) setDefaults() {
	setDefault(&c.Neighbours, 8)
	setDefault(&c.PeerRequests, 8)
	setDefault(&c.RequestsPerPeer, 3)
	setDefault(&c.OriginRequests, 4)
	setDefault(&c.RegionRequests, 8)
	setDefault(&c.RefusalBackoff, 120*time.Millisecond)
	setDefault(&c.MaxRefusalBackoff, 240*time.Millisecond)
	setDefault(&c.UrgentAfter, 500*time.Millisecond)
	setDefault(&c.MissingBackoff, 100*time.Millisecond)
	setDefault(&c.LostPeerBackoff, 5*time.Second)
	setDefault(&c.BanTime, 500*time.Millisecond)
	setDefault(&c.MaxBanTime, time.Minute)
	setDefault(&c.SuspectTime, 10*time.Second)
	setDefault(&c.SourceBackoff, time.Second)
	setDefault(&c.JoinGrace, 1500*time.Millisecond)
	setDefault(&c.FallbackDelay, 3*time.Second)
	setDefault(&c.TakeoverBackoff, 10*time.Second)
	setDefault(&c.EndgameHedgeAfter, 400*time.Millisecond)
	setDefault(&c.HedgeAfter, 3*time.Second)
	setDefault(&c.OriginFallbackDelay, 10*time.Second)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
