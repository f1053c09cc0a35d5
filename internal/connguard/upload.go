package connguard

import "bytes"

// headEnd ends the head of a request.
var headEnd = []byte("\r\n\r\n")

// upload follows how much of a request was written, from its first byte. The zero value is one of
// which nothing was.
type upload struct {
	// tail is the end of a head that took more than one write, too short to hold headEnd.
	tail        []byte
	headWritten bool
	// bodyLeft is how many bytes of the body are still to be written.
	bodyLeft int64
}

// advance records that p was written.
func (u *upload) advance(p []byte) {
	if !u.headWritten {
		if len(u.tail) > 0 {
			p = append(u.tail, p...)
		}
		end := bytes.Index(p, headEnd)
		if end < 0 {
			u.tail = bytes.Clone(p[max(0, len(p)-len(headEnd)+1):])
			return
		}
		u.headWritten = true
		u.tail = nil
		p = p[end+len(headEnd):]
	}
	u.bodyLeft -= int64(len(p))
}

// complete reports whether the request was written whole.
func (u *upload) complete() bool {
	return u.headWritten && u.bodyLeft <= 0
}
