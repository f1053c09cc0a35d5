// Package rapidseed fixes the seed of property tests, so that a run with the
// default flags is reproducible.
package rapidseed
