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
	"github.com/snipestep/snipestep/strikes"
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
	// crashed holds the known crashes, as of strikes.CrashOf.
	crashed map[uint64]bool
}

func newCrashDetector() *crashDetector {
	return &crashDetector{crashed: make(map[uint64]bool)}
}

// isCrashed reports whether an endpoint has crashed. It blocks for up to
// crashProbeTimeout; calls for the same endpoint share one probe.
func (d *crashDetector) isCrashed(ctx context.Context, endpoint *directory.Endpoint) bool {
	crash := strikes.CrashOf(endpoint.ID, endpoint.StartedUnixMS)
	if d.isKnown(crash) {
		return true
	}
	refused, _, _ := d.probes.Do(strikes.CrashText(crash), func() (any, error) {
		probeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashProbeTimeout)
		defer cancel()
		return refusesConnections(probeCtx, endpoint.Address), nil
	})
	if crashed, _ := refused.(bool); crashed {
		d.remember(crash)
		return true
	}
	return false
}

func (d *crashDetector) isKnown(crash uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.crashed[crash]
}

func (d *crashDetector) remember(crash uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.crashed) >= maxKnownCrashes {
		clear(d.crashed)
	}
	d.crashed[crash] = true
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
