// Package requesttimeline reconstructs the timeline of one request from the log
// lines of all processes. It reads JSON lines, with or without text in front, from
// any number of readers, and reports what is missing from the logs.
package requesttimeline
