package operator

import (
	"net/http"

	"github.com/snipestep/snipestep/internal/connguard"
)

// maxHeaderBytes limits the head of a response, interim ones included.
const maxHeaderBytes = 64 << 10

var defaultClient = newDefaultClient()

func newDefaultClient() *http.Client {
	transport, ok := http.DefaultTransport.(*http.Transport)
	if !ok {
		return http.DefaultClient
	}
	transport = transport.Clone()
	transport.MaxResponseHeaderBytes = maxHeaderBytes
	transport.DialContext = connguard.Wrap(transport.DialContext)
	return &http.Client{Transport: transport}
}
