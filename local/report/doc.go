// Package report defines the measurements of one run of snipestep-local and writes
// them as JSON or as a table.
package report
