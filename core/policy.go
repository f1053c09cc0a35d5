package core

// The policies of routing and weight distribution.
const (
	// PolicySnipestep is the policy of the product.
	PolicySnipestep = "snipestep"
	// PolicyBaseline draws every copy from the origin and queues calls in
	// one FIFO queue, fewest running calls first.
	PolicyBaseline = "baseline"
)
