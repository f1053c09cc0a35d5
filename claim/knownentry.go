package claim

import "time"

// knownEntry is an entry of the log whose records are in the state.
type knownEntry struct {
	sequence uint64
	version  uint64
	batch    string
	at       time.Time // When it was drafted.
	seenAt   time.Time // When this owner first knew of it.
}
