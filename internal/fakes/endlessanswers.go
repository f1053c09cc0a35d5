package fakes

import (
	"net/http"
	"strconv"
	"time"
)

// EndlessHeads returns answers whose head never ends, or ends in a switch of
// protocols, by the place of the bytes.
func EndlessHeads() map[string]EndlessAnswer {
	return map[string]EndlessAnswer{
		"status line": {Opening: opening("HTTP/1.1 200 O"), Piece: Repeat("K")},
		"header line": {Opening: opening("HTTP/1.1 200 OK\r\nX-Noise: "), Piece: Repeat("x")},
		"headers":     {Opening: opening("HTTP/1.1 200 OK\r\n"), Piece: Repeat("X-Noise: x\r\n")},
		"switch of protocols": {
			Opening: switchOfProtocols("Connection: Upgrade\r\nUpgrade: x\r\n"),
			Piece:   Repeat("x"),
		},
		"half a switch": {Opening: switchOfProtocols(""), Piece: Repeat("x")},
		"interim":       {Piece: Repeat("HTTP/1.1 103 Early Hints\r\nX-Noise: x\r\n\r\n")},
	}
}

// EndlessBodies returns answers with a status line, such as "HTTP/1.1 200 OK", and
// header lines, each with its end, whose body starts with start and never ends.
func EndlessBodies(statusLine, header, start, piece string) map[string]EndlessAnswer {
	head := statusLine + "\r\n" + header
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	return map[string]EndlessAnswer{
		"body with length":    {Opening: opening(head + "Content-Length: 1099511627776\r\n\r\n" + start), Piece: Repeat(piece)},
		"body without length": {Opening: opening(head + "\r\n" + start), Piece: Repeat(piece)},
		"chunks":              {Opening: opening(chunked + chunk(start)), Piece: Repeat(chunk(piece))},
		"chunk extension":     {Opening: opening(chunked + chunk(start) + "1;"), Piece: Repeat("x")},
		"trailers":            {Opening: opening(chunked + chunk(start) + "0\r\n"), Piece: Repeat("X-Noise: x\r\n")},
	}
}

// switchOfProtocols returns a head with the attempt of the request, if it has one.
func switchOfProtocols(header string) func(*http.Request) string {
	return func(r *http.Request) string {
		return "HTTP/1.1 101 Switching Protocols\r\n" + header + "X-Request-Id: " + r.Header.Get("X-Request-Id") + "\r\n\r\n"
	}
}

func opening(text string) func(*http.Request) string {
	return func(*http.Request) string { return text }
}

// chunk encodes data as one chunk; empty data is no chunk, since an empty chunk
// ends a body.
func chunk(data string) string {
	if data == "" {
		return ""
	}
	return strconv.FormatInt(int64(len(data)), 16) + "\r\n" + data + "\r\n"
}

// WithPause returns the answer with another pause.
func (a EndlessAnswer) WithPause(pause time.Duration) EndlessAnswer {
	a.Pause = pause
	return a
}
