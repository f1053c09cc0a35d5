package httpcall

import (
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/snipestep/snipestep/internal/connguard"
)

const (
	dialTimeout         = 3 * time.Second
	idleTimeout         = 90 * time.Second
	maxIdleConnsPerHost = 64
	maxHeaderBytes      = 64 << 10
)

// Config describes how to reach an HTTP service.
type Config struct {
	// BaseURL is scheme, IP and port, e.g. "http://127.0.0.1:8080".
	BaseURL string
	// Client sends the requests; nil uses a client without proxies. Its responses are
	// checked, see connguard.Transport. Redirects are never followed.
	Client *http.Client
	// Timeout limits Do and Call; 0 leaves the limit to the context.
	Timeout time.Duration
}

// NewTransport returns a transport that uses no proxy.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:            connguard.Wrap(dialer.DialContext),
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
}

func (c Config) httpClient() *http.Client {
	client := http.Client{Transport: NewTransport()}
	if c.Client != nil {
		client = *c.Client
	}
	client.Transport = connguard.NewTransport(client.Transport)
	client.CheckRedirect = refuseRedirect
	return &client
}

func (c Config) baseURL() string {
	return strings.TrimRight(c.BaseURL, "/")
}

func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}
