// Package wait blocks for a time or until a context ends.
package wait
