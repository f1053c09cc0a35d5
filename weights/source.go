package weights

import "github.com/snipestep/snipestep/core"

// SourceKind says where a chunk is requested.
type SourceKind uint8

// The kinds of sources.
const (
	// SourcePeer is a neighbour in the own region that offered the chunk.
	SourcePeer SourceKind = iota
	// SourceRegionPeer is a fetcher in another region. It is asked before
	// it offers the chunk and keeps the request for a while.
	SourceRegionPeer
	// SourceOrigin is the origin of weights.
	SourceOrigin
	// SourceStore is the weight store, used while the origin fails.
	SourceStore
)

// Source is one place to request a chunk from. Peer is empty for the origin
// and the store.
type Source struct {
	Kind SourceKind
	Peer core.InstanceID
}
