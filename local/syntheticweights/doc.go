// Package syntheticweights supplies the weights that the fake origin publishes:
// random bytes from a seed, or the files of a directory.
package syntheticweights
