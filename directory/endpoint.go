package directory

// Endpoint is one listed endpoint of a service.
type Endpoint struct {
	// ID names this incarnation; the endpoint checks it.
	ID            string
	Service       string
	Address       string // IP:port.
	FailureDomain string
	Region        string // Contains the failure domain.
	Slots         int
	// Draining endpoints accept no new requests.
	Draining bool
	// Leaving says that a response of the endpoint, not only the endpoint list, says so.
	Leaving bool
	// LoadedVersion is the version of the weights that is completely loaded, 0 for
	// none and for services without a model.
	LoadedVersion uint64
	// StartedUnixMS is when this incarnation started in Unix milliseconds, 0 if unknown.
	StartedUnixMS int64
}

// newerThan orders incarnations at one address by start time, then by ID.
func (e *Endpoint) newerThan(other *Endpoint) bool {
	if e.StartedUnixMS != other.StartedUnixMS {
		return e.StartedUnixMS > other.StartedUnixMS
	}
	return e.ID > other.ID
}
