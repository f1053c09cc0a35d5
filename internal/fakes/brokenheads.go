package fakes

import (
	"fmt"
	"maps"
)

// BrokenStatuses returns answers whose status is none, by the status. lines are header lines, each
// with its end, that all heads have.
func BrokenStatuses(lines, body string) map[string]string {
	answers := make(map[string]string)
	for _, status := range []string{"000", "099", "+99", "00A", "20", "2000"} {
		head := "HTTP/1.1 " + status + " Status\r\n" + lines
		answers[status] = head + sized(body)
		answers[status+", without a body"] = head + sized("")
	}
	return answers
}

// BrokenNames returns answers that are whole but for a line of a head with something else than a
// field name before its colon.
func BrokenNames(lines, body string) map[string]string {
	head := "HTTP/1.1 200 OK\r\n" + lines
	answers := make(map[string]string)
	for name, line := range brokenLines() {
		answers[name] = head + line + sized(body)
		answers[name+", without a body"] = head + line + sized("")
		answers[name+", interim"] = "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n" + head + sized(body)
	}
	return answers
}

// BrokenTrailers returns answers as BrokenNames does, with the line in the trailer.
func BrokenTrailers(lines, body string) map[string]string {
	answers := make(map[string]string)
	for name, line := range brokenLines() {
		answers[name+", trailer"] = "HTTP/1.1 200 OK\r\n" + lines + "Transfer-Encoding: chunked\r\n\r\n" +
			chunk(body) + "0\r\n" + line + "\r\n"
	}
	return answers
}

// BrokenHeads returns the answers of BrokenStatuses and BrokenNames.
func BrokenHeads(lines, body string) map[string]string {
	answers := BrokenStatuses(lines, body)
	maps.Copy(answers, BrokenNames(lines, body))
	return answers
}

func brokenLines() map[string]string {
	return map[string]string{
		"blank in a name":       "X Plain: 1\r\n",
		"blank behind a name":   "X-Plain : 1\r\n",
		"blank behind a length": "Content-Length : 2\r\n",
		"blank behind a coding": "Transfer-Encoding : chunked\r\n",
		"tab":                   "X\tPlain: 1\r\n",
		"control byte":          "X\x01Plain: 1\r\n",
		"NUL":                   "X-Plain\x00: 1\r\n",
		"eight bits":            "X-Pl\xe4in: 1\r\n",
		"no name":               ": 1\r\n",
	}
}

// sized returns the length of a body, the end of the head and the body.
func sized(body string) string {
	return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}
