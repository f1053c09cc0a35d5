// Package logstory tells what became of one request from the log lines of all
// processes. It reads JSON lines, also with other text in front, from any
// number of readers, and says what the lines do not tell.
package logstory
