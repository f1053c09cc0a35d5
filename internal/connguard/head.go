package connguard

import (
	"errors"
	"net/http"
	"net/textproto"
	"strconv"

	"golang.org/x/net/http/httpguts"
)

const (
	// minStatus is the lowest status code (RFC 9110, section 15). net/http takes any number of three
	// digits, and one of two digits with a sign.
	minStatus = 100
	// maxInterimBytes bounds the interim responses before a final one. It is the bound on the head of
	// a response that all transports here have; net/http counts both together only while nobody
	// looks at interim responses.
	maxInterimBytes = 64 << 10
	// minHeadBytes is the size of a head without fields and reason phrase, and fieldLineBytes that of
	// a field line without name and value.
	minHeadBytes   = int64(len("HTTP/1.1 100 \r\n\r\n"))
	fieldLineBytes = int64(len(": \r\n"))
	// maxDetailBytes bounds what an error quotes of a response.
	maxDetailBytes = 64
)

// checkHead returns *BrokenResponseError for the head of a final or interim response that is none.
// net/http refuses the other malformed ones.
func checkHead(status int, header http.Header) error {
	if status < minStatus {
		return newBrokenResponse(BrokenStatus, strconv.Itoa(status), nil)
	}
	return checkFieldNames(header)
}

// checkFieldNames returns *BrokenResponseError if a field of a head or a trailer has a name that is
// no token (RFC 9110, section 5.1). net/http keeps names that hold blanks or end with one: whoever
// reads the line as the field that it resembles, such as a length, finds another body.
func checkFieldNames(header http.Header) error {
	for name, values := range header {
		// A trailer that was only announced has no value.
		if len(values) > 0 && !httpguts.ValidHeaderFieldName(name) {
			return newBrokenResponse(BrokenFieldName, quote(name), nil)
		}
	}
	return nil
}

// fieldBytes returns the size of a header's field lines.
func fieldBytes(header http.Header) int64 {
	size := int64(0)
	for name, values := range header {
		for _, value := range values {
			size += fieldLineBytes + int64(len(name)+len(value))
		}
	}
	return size
}

// brokenLine returns *BrokenResponseError for an error of net/http about a line of a head or a
// trailer, else err.
func brokenLine(err error) error {
	var malformed textproto.ProtocolError
	if errors.As(err, &malformed) {
		return newBrokenResponse(BrokenFieldLine, quote(string(malformed)), nil)
	}
	return err
}

// quote returns text without control characters, cut to maxDetailBytes.
func quote(text string) string {
	return strconv.Quote(text[:min(len(text), maxDetailBytes)])
}
