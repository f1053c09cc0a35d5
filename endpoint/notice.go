package endpoint

import (
	"net/http"

	"github.com/snipestep/snipestep/core"
)

// Notice is what the header of an answer says of its endpoint.
type Notice struct {
	// Own says that the answer is to the request that it arrived for.
	Own bool
	// Limited says that the endpoint takes at most PerSecond calls a second. LimitUnknown
	// says that the header has a value that cannot be read.
	Limited      bool
	PerSecond    float64
	LimitUnknown bool
}

// RateLimitHeader holds the calls a second that the endpoint takes, a decimal number. The
// limit holds until an answer to a later call has no such header.
const RateLimitHeader = "Snipestep-Rate-Limit"

func readNotice(header http.Header, own bool) Notice {
	values := header.Values(RateLimitHeader)
	perSecond, limited := core.LowestRate(values)
	return Notice{
		Own:          own,
		Limited:      limited,
		PerSecond:    perSecond,
		LimitUnknown: len(values) > 0 && !limited,
	}
}

// noticing returns a check of responses that also passes their notices on; onNotice may be
// nil.
func noticing(belongs func(int, http.Header) bool, onNotice func(Notice)) func(int, http.Header) bool {
	if onNotice == nil {
		return belongs
	}
	return func(status int, header http.Header) bool {
		own := belongs(status, header)
		onNotice(readNotice(header, own))
		return own
	}
}
