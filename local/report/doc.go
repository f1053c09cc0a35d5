// Package report holds the measures of one run of snipestep-local and prints
// them as JSON or as a table.
package report
