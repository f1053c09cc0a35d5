package fakes_test

import (
	"bytes"
	"context"
	"io"
	"math"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/internal/fakes"
)

// serveTCP passes each accepted connection to handle in a goroutine of its own.
func serveTCP(t testing.TB, handle func(net.Conn)) string {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go handle(conn)
		}
	}()
	return listener.Addr().String()
}

// sleepAdvancing is a Sleep that advances the clock instead of waiting.
func (c *manualClock) sleepAdvancing(_ context.Context, duration time.Duration) error {
	c.Advance(duration)
	return nil
}

var (
	dar    = core.Location{Region: "dar"}
	arusha = core.Location{Region: "arusha"}
)

const sentBytes = 1 << 20

// sendAndWait sends bytes over a link and returns once all have arrived.
func sendAndWait(t *testing.T, links *fakes.Links, from core.Location, address string, received <-chan []byte) {
	t.Helper()
	conn, err := links.Dialer("near", from)(t.Context(), "tcp", address)
	assert.NilError(t, err)
	data := bytes.Repeat([]byte("snipestep"), sentBytes/9+1)[:sentBytes]
	_, err = conn.Write(data)
	assert.NilError(t, err)
	assert.NilError(t, conn.Close())
	assert.Assert(t, bytes.Equal(<-received, data))
}

func startReceiver(t *testing.T) (string, <-chan []byte) {
	t.Helper()
	received := make(chan []byte, 1)
	address := serveTCP(t, func(conn net.Conn) {
		defer conn.Close()
		data, _ := io.ReadAll(conn)
		received <- data
	})
	return address, received
}

func TestLinksLimitRateToSlowestLink(t *testing.T) {
	for name, test := range map[string]struct {
		from core.Location
		mbps float64
	}{
		"within a region": {from: dar, mbps: 400},
		"between regions": {from: arusha, mbps: 20},
	} {
		t.Run(name, func(t *testing.T) {
			clock := newManualClock()
			links := fakes.NewLinks(fakes.LinksConfig{InstanceMbps: 400, RegionMbps: 20, Clock: clock.Now, Sleep: clock.sleepAdvancing})
			address, received := startReceiver(t)
			links.Register(address, fakes.TrafficWeights, "far", dar)
			start := clock.Now()
			sendAndWait(t, links, test.from, address, received)
			tookSeconds := clock.Now().Sub(start).Seconds()
			wantSeconds := sentBytes * 8 / (test.mbps * 1e6)
			assert.Assert(t, math.Abs(tookSeconds-wantSeconds) < wantSeconds*0.2, "took %f s, want about %f s", tookSeconds, wantSeconds)
			totals := links.Totals()
			assert.Equal(t, totals.Outgoing["near"], fakes.LinkBytes{Weights: sentBytes})
			assert.Equal(t, totals.Incoming["far"], fakes.LinkBytes{Weights: sentBytes})
			betweenRegions := totals.RegionLinks[fakes.RegionPair{From: "arusha", To: "dar"}].Weights
			assert.Equal(t, betweenRegions == sentBytes, test.from == arusha)
		})
	}
}

func TestLinksCountBytesByTrafficClass(t *testing.T) {
	links := fakes.NewLinks(fakes.LinksConfig{})
	respond := func(conn net.Conn) {
		defer conn.Close()
		_, _ = conn.Write([]byte("answer"))
	}
	originAddress, sessionAddress := serveTCP(t, respond), serveTCP(t, respond)
	links.RegisterOrigin(originAddress, dar)
	links.Register(sessionAddress, fakes.TrafficCalls, "far", dar)
	for _, address := range []string{originAddress, sessionAddress} {
		conn, err := links.Dialer("near", dar)(t.Context(), "tcp", address)
		assert.NilError(t, err)
		assert.Equal(t, conn.RemoteAddr().String(), address)
		data, err := io.ReadAll(conn)
		assert.NilError(t, err)
		assert.Equal(t, string(data), "answer")
		assert.NilError(t, conn.Close())
	}
	totals := links.Totals()
	assert.Equal(t, totals.OriginOutgoing, fakes.LinkBytes{Weights: 6})
	assert.Equal(t, totals.Outgoing["far"], fakes.LinkBytes{Calls: 6})
	assert.Equal(t, totals.Incoming["near"], fakes.LinkBytes{Calls: 6, Weights: 6})
}

func TestLinksStallKeepsConnectionOpen(t *testing.T) {
	links := fakes.NewLinks(fakes.LinksConfig{})
	address := serveTCP(t, func(conn net.Conn) {
		defer conn.Close()
		_, _ = io.Copy(conn, conn)
	})
	links.Register(address, fakes.TrafficCalls, "far", dar)
	conn, err := links.Dialer("near", dar)(t.Context(), "tcp", address)
	assert.NilError(t, err)
	links.Stall("far", "near")
	_, err = conn.Write([]byte("ping"))
	assert.NilError(t, err)
	assert.NilError(t, conn.SetReadDeadline(time.Now()))
	echo := make([]byte, 4)
	_, err = conn.Read(echo)
	assert.ErrorContains(t, err, "timeout")
	assert.NilError(t, conn.SetReadDeadline(time.Time{}))
	links.Heal("far", "near")
	_, err = io.ReadFull(conn, echo)
	assert.NilError(t, err)
	assert.Equal(t, string(echo), "ping")
	assert.NilError(t, conn.Close())
}

func TestLinksCloseWhileStalledEndsConnection(t *testing.T) {
	before := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, before) })
	links := fakes.NewLinks(fakes.LinksConfig{})
	closed := make(chan struct{})
	address := serveTCP(t, func(conn net.Conn) {
		defer close(closed)
		defer conn.Close()
		_, _ = io.Copy(conn, conn)
	})
	links.Register(address, fakes.TrafficCalls, "far", dar)
	conn, err := links.Dialer("near", arusha)(t.Context(), "tcp", address)
	assert.NilError(t, err)
	links.StallRegions("arusha", "dar")
	_, err = conn.Write([]byte("ping"))
	assert.NilError(t, err)
	assert.NilError(t, conn.Close())
	<-closed
}

func BenchmarkLinks(b *testing.B) {
	for name, mbps := range map[string]float64{"unlimited": 0, "400Mbps": 400, "20Mbps": 20} {
		b.Run(name, func(b *testing.B) {
			links := fakes.NewLinks(fakes.LinksConfig{InstanceMbps: mbps, RegionLatencyMS: 3})
			address := serveTCP(b, func(conn net.Conn) {
				defer conn.Close()
				_, _ = io.Copy(io.Discard, conn)
				_, _ = conn.Write([]byte{1})
			})
			links.Register(address, fakes.TrafficWeights, "far", dar)
			conn, err := links.Dialer("near", arusha)(b.Context(), "tcp", address)
			assert.NilError(b, err)
			data := make([]byte, 256<<10)
			b.SetBytes(int64(len(data)))
			for b.Loop() {
				_, err = conn.Write(data)
				assert.NilError(b, err)
			}
			assert.NilError(b, conn.Close())
		})
	}
}
