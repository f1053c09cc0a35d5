package directory

// Endpoint is one listed endpoint of a service.
type Endpoint struct {
	// ID is the name of this incarnation; it is checked by the endpoint.
	ID      string
	Service string
	Address string // IP:port.
	// Domain is the failure domain and Region the region that holds it.
	Domain string
	Region string
	Slots  int
	// Draining endpoints take no new requests.
	Draining bool
	// Held is the version of the weights that is whole at the endpoint; 0
	// for none, and for plain services.
	Held uint64
	// Born is the start of this incarnation in Unix milliseconds, 0 if the
	// endpoint does not say.
	Born int64
}

// newerThan orders incarnations at one address by their start, and by their
// names where they do not tell it.
func (e *Endpoint) newerThan(other *Endpoint) bool {
	if e.Born != other.Born {
		return e.Born > other.Born
	}
	return e.ID > other.ID
}
