// Package slopes measures fleets of several sizes on one machine and fits linear
// costs per agent and per entry, for the capacity page.
package slopes
