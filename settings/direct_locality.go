package settings

import "time"

// DirectLocality configures when an entry of snipestep-direct sends requests outside its failure
// domain.
type DirectLocality struct {
	// Enabled makes the entry decide by waits, offers and costs.
	Enabled bool
	// PriceMSPerKB is the wait in milliseconds that a kilobyte to another failure domain is worth.
	PriceMSPerKB float64
}

// PricePerKB returns the price as a duration.
func (l *DirectLocality) PricePerKB() time.Duration {
	return time.Duration(l.PriceMSPerKB * float64(time.Millisecond))
}

// maxPriceMSPerKB is a minute: no request waits longer.
const maxPriceMSPerKB = 60_000

func localitySection(l *DirectLocality) Section {
	return Section{Name: "locality", Doc: "For entries: when they send requests for models outside their failure domain.", Keys: []Key{
		{Name: "enabled", Default: "false", Value: emptyAsDefault{Bool(&l.Enabled), "false"}, Doc: "Whether requests are sent to another failure domain only if it offers slots and the wait in the own one exceeds the cost. Otherwise endpoints of other regions get them once the own ones are a quarter fuller."},
		{Name: "price_ms_per_kb", Default: "0.5", Value: emptyAsDefault{Float(&l.PriceMSPerKB, 0, maxPriceMSPerKB), "0.5"}, Doc: "Wait in milliseconds that a kilobyte to another failure domain is worth."},
	}}
}
