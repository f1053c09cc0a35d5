package core

// The policies of routing and weight distribution.
const (
	// PolicySnipestep is the policy of the product.
	PolicySnipestep = "snipestep"
	// PolicyBaseline downloads every copy of the weights from the origin, keeps
	// calls in one FIFO queue and prefers the endpoint with the fewest running
	// calls.
	PolicyBaseline = "baseline"
)
