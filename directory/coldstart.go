package directory

import (
	"maps"
	"time"
)

// ColdStart describes a service whose endpoints bear few requests after a start.
type ColdStart struct {
	// Duration is how long an endpoint is cold after it started; 0 if it is unknown, and only
	// the records of endpoints tell.
	Duration time.Duration
	// PerSecond is how many requests a second a cold endpoint takes from all entries
	// together.
	PerSecond float64
}

// ColdRecord is what the record of an endpoint says about its coldness.
type ColdRecord struct {
	// Left is how much longer the endpoint stays cold, as of ReceivedAt, a time of this
	// process; 0 if it is not cold.
	Left       time.Duration
	ReceivedAt time.Time
	// Era and Revision tell the records of an endpoint apart.
	Era, Revision uint64
	// Initial says that the first read of the store named it.
	Initial bool
}

// SetColdRecords replaces what records say about the coldness of endpoints, by endpoint ID.
// It is kept beside the endpoints: an unchanged record that is decoded again must not make its
// endpoint cold anew.
func (d *Directory) SetColdRecords(records map[string]ColdRecord) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if maps.Equal(d.current.Load().ColdRecords, records) {
		return
	}
	d.update(func(v *View) { v.ColdRecords = records })
}
