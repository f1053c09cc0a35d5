// Package wait blocks for a duration or until a context ends.
package wait
