//go:build !unix

package ingress

// DefaultMaxConns returns the default bound of the connections of callers.
func DefaultMaxConns() int { return fallbackMaxConns }
