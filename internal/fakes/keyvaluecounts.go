package fakes

// KeyValueCounts counts the calls to a KeyValue by operation. A long poll counts
// once.
type KeyValueCounts struct {
	Get            uint64
	CompareAndSwap uint64
	Delete         uint64
	List           uint64
	Watch          uint64
	Grant          uint64
	KeepAlive      uint64
	Revoke         uint64
	// DroppedResponses counts writes that took effect and whose response was
	// dropped.
	DroppedResponses uint64
}

// Calls returns the number of all calls.
func (c KeyValueCounts) Calls() uint64 {
	return c.Reads() + c.Writes()
}

// Reads returns the number of reads.
func (c KeyValueCounts) Reads() uint64 {
	return c.Get + c.List + c.Watch
}

// Writes returns the number of writes.
func (c KeyValueCounts) Writes() uint64 {
	return c.CompareAndSwap + c.Delete + c.Grant + c.KeepAlive + c.Revoke
}
