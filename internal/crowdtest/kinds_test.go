//go:build crowd && linux

package crowdtest

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	// legalHead is the largest header section of known deployments, and of the own path.
	legalHead = 16 << 10
	// fewDescriptors is the hard limit of the entry's descriptors where connections are what
	// presses.
	fewDescriptors = 512
)

// nameBytes are the bytes of header names that differ after their case is folded.
const nameBytes = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~"

// shortLines returns header lines with distinct names, as short as they can be, of up to size bytes
// together. value is what stands after each name.
func shortLines(size int, value string) string {
	var lines strings.Builder
	for i := 0; ; i++ {
		n := len(nameBytes)
		name := string([]byte{nameBytes[i%n], nameBytes[i/n%n]})
		if i >= n*n {
			name += string(nameBytes[i/n/n%n])
		}
		if lines.Len()+len(name)+len(value) > size {
			return lines.String()
		}
		lines.WriteString(name + value)
	}
}

// withLines returns a request whose header has further lines up to size, without the empty line.
func (e *target) withLines(size int, lines func(size int) string) string {
	head := e.requestLines(e.path, 0)
	return head + lines(size-len(head)-len("\r\n"))
}

// repeated returns a function that repeats a line up to a size.
func repeated(line string) func(size int) string {
	return func(size int) string { return strings.Repeat(line, size/len(line)) }
}

func distinct(size int) string { return shortLines(size, ":\n") }

// startFunc starts an entry of one path.
type startFunc func(t *testing.T, maxDescriptors int) *target

// Guards against heads of legal size that are never complete and whose lines take many times their
// size: each line of another name costs an entry of a map.
func heldHeadsOfDistinctNames(t *testing.T, start startFunc) {
	e := start(t, 0)
	check(t, e, false, crowd{callers: 400, begin: e.withLines(legalHead, distinct)})
}

func TestDirectHeldHeadsOfDistinctNames(t *testing.T) { heldHeadsOfDistinctNames(t, startDirect) }
func TestOwnHeldHeadsOfDistinctNames(t *testing.T)    { heldHeadsOfDistinctNames(t, startOwn) }

// Guards against the same with one name, whose lines cost a place in a slice.
func heldHeadsOfOneName(t *testing.T, start startFunc) {
	e := start(t, 0)
	check(t, e, false, crowd{callers: 400, begin: e.withLines(legalHead, repeated("a:\n"))})
}

func TestDirectHeldHeadsOfOneName(t *testing.T) { heldHeadsOfOneName(t, startDirect) }
func TestOwnHeldHeadsOfOneName(t *testing.T)    { heldHeadsOfOneName(t, startOwn) }

// Guards against complete heads of legal size that are held for the time of their requests.
func TestDirectLegalHeadsOfRequestsInProgress(t *testing.T) {
	e := startDirect(t, 0)
	head := e.requestLines("/held", 0)
	// Today's count of a head takes a space after each colon for granted.
	head += shortLines(legalHead-len(head)-len("\r\n")-64, ": c\r\n") + "\r\n"
	check(t, e, false, crowd{callers: 400, begin: head})
}

// Guards against odd lines: without a colon, without a name, of control bytes, folded.
func oddLines(t *testing.T, start startFunc) {
	for name, line := range map[string]string{"no colon": "ab\n", "empty name": ":\n", "control bytes": "a\x01:\n", "folded": " a\n"} {
		t.Run(name, func(t *testing.T) {
			e := start(t, 0)
			check(t, e, false, crowd{callers: 200, begin: e.withLines(legalHead, repeated(line))})
		})
	}
}

func TestDirectOddLines(t *testing.T) { oddLines(t, startDirect) }
func TestOwnOddLines(t *testing.T)    { oddLines(t, startOwn) }

// Guards against heads over the limit that are read before their size is checked.
func headsOverTheLimit(t *testing.T, start startFunc) {
	e := start(t, 0)
	check(t, e, false, crowd{callers: 200, begin: e.withLines(250<<10, distinct)})
}

func TestDirectHeadsOverTheLimit(t *testing.T) { headsOverTheLimit(t, startDirect) }
func TestOwnHeadsOverTheLimit(t *testing.T)    { headsOverTheLimit(t, startOwn) }

// Guards against heads without end, sent as fast as they are read.
func endlessHeads(t *testing.T, start startFunc) {
	e := start(t, 0)
	check(t, e, false, crowd{callers: 200, begin: e.requestLines(e.path, 0), repeat: shortLines(250<<10, ":\n")})
}

func TestDirectEndlessHeads(t *testing.T) { endlessHeads(t, startDirect) }
func TestOwnEndlessHeads(t *testing.T)    { endlessHeads(t, startOwn) }

// Guards against heads without end, sent a byte at a time.
func slowHeads(t *testing.T, start startFunc) {
	e := start(t, 0)
	check(t, e, false, crowd{callers: 200, begin: e.requestLines(e.path, 0), repeat: "a:\n", slow: true})
}

func TestDirectSlowHeads(t *testing.T) { slowHeads(t, startDirect) }
func TestOwnSlowHeads(t *testing.T)    { slowHeads(t, startOwn) }

// Guards against empty lines without end before a first request, and before a later one.
func emptyLines(t *testing.T, start startFunc) {
	for _, name := range []string{"first request", "later request"} {
		t.Run(name, func(t *testing.T) {
			e := start(t, 0)
			c := crowd{callers: 200, repeat: strings.Repeat("\r\n", 32<<10)}
			if name == "later request" {
				c.begin = e.requestLines(e.path, 7) + "\r\n" + `{"n":1}`
			}
			check(t, e, false, c)
		})
	}
}

func TestDirectEmptyLines(t *testing.T) { emptyLines(t, startDirect) }
func TestOwnEmptyLines(t *testing.T)    { emptyLines(t, startOwn) }

// Guards against trailers and chunk extensions without end.
func chunkedBodies(t *testing.T, start startFunc) {
	for name, repeat := range map[string]string{"trailers": distinct(64 << 10), "chunk extensions": strings.Repeat("1;a=b\r\nx\r\n", 4<<10)} {
		t.Run(name, func(t *testing.T) {
			e := start(t, 0)
			begin := e.requestLines(e.path, 0) + "Transfer-Encoding: chunked\r\n\r\n"
			if name == "trailers" {
				begin += "0\r\n"
			}
			check(t, e, false, crowd{callers: 300, begin: begin, repeat: repeat})
		})
	}
}

func TestDirectChunkedBodies(t *testing.T) { chunkedBodies(t, startDirect) }
func TestOwnChunkedBodies(t *testing.T)    { chunkedBodies(t, startOwn) }

// Guards against bodies of legal size that are never complete.
func heldBodies(t *testing.T, start startFunc) {
	e := start(t, 0)
	check(t, e, false, crowd{callers: 96, begin: e.requestLines(e.path, 1<<20) + "\r\n" + strings.Repeat("x", 1<<20-1)})
}

func TestDirectHeldBodies(t *testing.T) { heldBodies(t, startDirect) }
func TestOwnHeldBodies(t *testing.T)    { heldBodies(t, startOwn) }

// Guards against whole bodies that take many times their size once they are decoded.
func TestOwnDecodedBodies(t *testing.T) {
	e := startOwn(t, 0)
	body := `{"model":"m","messages":[` + strings.Repeat("{},", 349_000) + `{}]}`
	e.path, body = "/v1/chat/completions", body[:min(len(body), 1<<20)]
	request := e.requestLines(e.path, len(body)) + "\r\n" + body
	e.path = purchasePath
	check(t, e, false, crowd{callers: 64, begin: request})
}

// Guards against callers that pipeline requests, which are refused, and read nothing: writing the
// refusals blocks, and the connections stay for good. They take all descriptors.
func pipelinedRefusals(t *testing.T, start startFunc) {
	e := start(t, fewDescriptors)
	request := "POST /nowhere HTTP/1.1\r\nHost: other.example\r\nContent-Length: 0\r\n\r\n"
	check(t, e, true, crowd{callers: 600, begin: strings.Repeat(request, 400), repeat: strings.Repeat(request, 400), smallBuffer: true})
}

func TestDirectPipelinedRefusals(t *testing.T) { pipelinedRefusals(t, startDirect) }
func TestOwnPipelinedRefusals(t *testing.T)    { pipelinedRefusals(t, startOwn) }

// Guards against large answers that their callers do not read.
func TestDirectUnreadAnswers(t *testing.T) {
	e := startDirect(t, 0)
	check(t, e, false, crowd{callers: 32, begin: e.requestLines("/large", 0) + "\r\n", smallBuffer: true})
}

// Guards against callers of several kinds that press at once.
func TestDirectBodiesAnswersAndHeads(t *testing.T) {
	e := startDirect(t, 0)
	check(t, e, false,
		crowd{callers: 32, begin: e.requestLines("/large", 0) + "\r\n", smallBuffer: true},
		crowd{callers: 32, begin: e.requestLines(e.path, 1<<20) + "\r\n" + strings.Repeat("x", 1<<20-1)},
		crowd{callers: 200, begin: e.withLines(legalHead, distinct)})
}

// Guards against idle connections that keep others out.
func idleConnections(t *testing.T, start startFunc) {
	check(t, start(t, fewDescriptors), true, crowd{callers: 600})
}

func TestDirectIdleConnections(t *testing.T) { idleConnections(t, startDirect) }
func TestOwnIdleConnections(t *testing.T)    { idleConnections(t, startOwn) }

// Guards against the refusal of a legal request while nothing else presses: its header section has the
// largest size, in lines of four bytes as far as there are names.
func legalHeadServed(t *testing.T, start startFunc) {
	e := start(t, 0)
	const body = `{"n":1}`
	head := e.requestLines(e.path, len(body))
	rest := legalHead - len(head) - len("\r\n")
	head += "xxxxx"[:rest%4] + "x:\n" + strings.Repeat("ab:\n", (rest-rest%4-3)/4) + "\r\n"
	assert.NilError(t, e.serves(head+body))
}

func TestDirectLegalHeadIsServed(t *testing.T) { legalHeadServed(t, startDirect) }
func TestOwnLegalHeadIsServed(t *testing.T)    { legalHeadServed(t, startOwn) }
