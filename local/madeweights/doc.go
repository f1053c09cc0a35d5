// Package madeweights makes the weights that the fake origin publishes, from a
// seed or from the files of a directory.
package madeweights
