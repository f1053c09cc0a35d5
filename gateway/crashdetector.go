package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/snipestep/snipestep/directory"
)

const (
	// crashProbeTimeout bounds the connection attempt that tells a crashed endpoint from
	// one that only dropped a connection: ten times the longest round trip between two
	// regions of known deployments. An endpoint that does not answer it counts as cut off.
	crashProbeTimeout = 150 * time.Millisecond
	// maxKnownCrashes bounds the crashes that are remembered to save probes.
	maxKnownCrashes = 1024
)

// crashDetector finds out whether an endpoint that broke off a request has crashed: then
// nothing listens at its address. A lost or reset connection alone says nothing, as
// links break too. It is safe for concurrent use.
type crashDetector struct {
	probes singleflight.Group

	mu sync.Mutex
	// crashed holds the IDs of endpoints that are known to have crashed.
	crashed map[string]bool
}

func newCrashDetector() *crashDetector {
	return &crashDetector{crashed: make(map[string]bool)}
}

// isCrashed reports whether an endpoint has crashed. It blocks for up to
// crashProbeTimeout; calls for the same endpoint share one probe.
func (d *crashDetector) isCrashed(ctx context.Context, endpoint *directory.Endpoint) bool {
	if d.isKnown(endpoint.ID) {
		return true
	}
	refused, _, _ := d.probes.Do(endpoint.ID, func() (any, error) {
		probeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashProbeTimeout)
		defer cancel()
		return refusesConnections(probeCtx, endpoint.Address), nil
	})
	if crashed, _ := refused.(bool); crashed {
		d.remember(endpoint.ID)
		return true
	}
	return false
}

func (d *crashDetector) isKnown(endpointID string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.crashed[endpointID]
}

func (d *crashDetector) remember(endpointID string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.crashed) >= maxKnownCrashes {
		clear(d.crashed)
	}
	d.crashed[endpointID] = true
}

// refusesConnections reports whether the instance at an address is up and nothing listens
// there.
func refusesConnections(ctx context.Context, address string) bool {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}

// isConnectionLost reports whether an error says that the endpoint's connection ended
// before the response did.
func isConnectionLost(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
