package weights

import "github.com/snipestep/snipestep/core"

// SourceKind is the kind of source that a chunk is requested from.
type SourceKind uint8

// The kinds of sources.
const (
	// SourcePeer is a neighbour in the local region that holds the chunk.
	SourcePeer SourceKind = iota
	// SourceRegionPeer is a fetcher in another region. It may receive the
	// request before it holds the chunk and keeps the request until a timeout.
	SourceRegionPeer
	// SourceOrigin is the origin of weights.
	SourceOrigin
	// SourceStore is the weight store, used while the origin fails.
	SourceStore
)

// Source is one source of chunks. Peer is empty for the origin and the store.
type Source struct {
	Kind SourceKind
	Peer core.InstanceID
}
