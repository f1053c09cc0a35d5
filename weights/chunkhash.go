package weights

// ChunkHash is the hash function of a manifest's chunk digests.
type ChunkHash uint8

// The hash functions. An origin that publishes its own digests determines
// which one applies.
const (
	HashBLAKE3 ChunkHash = iota
	HashSHA256
)
