package fakes

// BrokenStatuses returns answers whose status is none, by the status. lines are header lines, each
// with its end, that all heads have.
func BrokenStatuses(lines string) map[string]string {
	answers := make(map[string]string)
	for _, status := range []string{"000", "099", "+99", "00A", "20", "2000"} {
		answers[status] = "HTTP/1.1 " + status + " Status\r\n" + lines + "Content-Length: 4\r\n\r\nnull"
		answers[status+" without a body"] = "HTTP/1.1 " + status + " Status\r\n" + lines + "Content-Length: 0\r\n\r\n"
	}
	return answers
}
