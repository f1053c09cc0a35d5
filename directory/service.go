package directory

// Service describes a group of equal endpoints.
type Service struct {
	Name string
	// MaxConns is the number of connections that one endpoint accepts from
	// all callers together; 0 stands for no bound.
	MaxConns int
	// Model is the model that the endpoints serve; empty for plain services.
	Model string
	// Engine holds the published properties of the model engines; nil for
	// plain services.
	Engine *Engine
	// Origin is the address of an origin of weights; empty for all others.
	Origin string
	// OriginDomain is the failure domain of the origin.
	OriginDomain string
}

// Engine holds the published properties of the engines of a service.
type Engine struct {
	Slots      int // Requests that run at once.
	Layers     int
	Chunks     int // Chunks of one version of the weights.
	ChunkBytes int
	// ReadRate is how many prompt tokens an engine reads a second.
	ReadRate float64
}
