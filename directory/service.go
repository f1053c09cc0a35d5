package directory

// Service describes a group of interchangeable endpoints.
type Service struct {
	Name string
	// MaxConns is the number of connections that one endpoint accepts from
	// all callers together; 0 means no limit.
	MaxConns int
	// Model is the model that the endpoints serve, empty for services without
	// one.
	Model string
	// Engine holds the published properties of the model engines, nil for
	// services without a model.
	Engine *Engine
	// ColdStart is nil for services whose endpoints bear their full load from the start.
	ColdStart *ColdStart
	// OriginAddress (IP:port) is set for an origin of weights, and empty for other
	// services.
	OriginAddress string
	// OriginFailureDomain is the failure domain of the origin.
	OriginFailureDomain string
}

// Engine holds the published properties of the engines of a service.
type Engine struct {
	Slots                  int // Maximum of concurrent requests.
	Layers                 int
	Chunks                 int // Chunks of one version of the weights.
	ChunkBytes             int
	PrefillTokensPerSecond float64
}
