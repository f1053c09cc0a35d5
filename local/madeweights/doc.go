// Package madeweights makes the weights that the stand-ins publish, from a seed
// or from the files of a directory.
package madeweights
