// Package slopes measures fleets of several sizes on one machine and fits how
// their costs grow, for the capacity page.
package slopes
