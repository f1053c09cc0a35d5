package runner

import (
	"context"
	"net/http"
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/internal/fakes"
	"github.com/snipestep/snipestep/local/scenario"
	"github.com/snipestep/snipestep/local/serving"
)

// Behaviour of the fake platform, and limits of the clients that call it.
const (
	listLag             = time.Second
	storeCallsPerSecond = 200
	storeBurst          = 400
	localLatencyMS      = 0.5
	platformTimeout     = 2 * time.Second
	chunkTimeout        = time.Minute
	anyPort             = "127.0.0.1:0"
	storeInstance       = "weight-store"
	keyValueInstance    = "key-value"
)

// fakePlatform holds the fake platform services and the simulated network links.
type fakePlatform struct {
	keyValue   *fakes.KeyValue
	list       *fakes.InstanceList
	origin     *fakes.Origin
	store      *fakes.WeightStore
	runCounter *fakes.RunCounter
	links      *fakes.Links

	keyValueURL string
	listURL     string
	originURL   string
	storeURL    string
	servers     []*serving.Server
}

func startFakePlatform(ctx context.Context, s *scenario.Scenario) (*fakePlatform, error) {
	p := &fakePlatform{
		keyValue:   fakes.NewKeyValue(time.Now),
		list:       fakes.NewInstanceList(listLag, time.Now),
		origin:     fakes.NewOrigin(),
		store:      fakes.NewWeightStore(storeCallsPerSecond, storeBurst, time.Now),
		runCounter: fakes.NewRunCounter(),
		links:      fakes.NewLinks(linksConfig(s.Links)),
	}
	targets := []struct {
		handler http.Handler
		url     *string
	}{
		{p.keyValue, &p.keyValueURL},
		{p.list, &p.listURL},
		{p.origin, &p.originURL},
		{p.store, &p.storeURL},
	}
	for _, target := range targets {
		server, err := serving.Start(ctx, anyPort, target.handler)
		if err != nil {
			p.close()
			return nil, err
		}
		p.servers = append(p.servers, server)
		*target.url = server.URL()
	}
	p.registerLinks()
	return p, nil
}

// registerLinks registers the platform services as instances of the first region.
func (p *fakePlatform) registerLinks() {
	firstRegion := regionLocation(0)
	p.links.Register(p.servers[0].Addr, fakes.TrafficCalls, keyValueInstance, firstRegion)
	p.links.RegisterOrigin(p.servers[2].Addr, firstRegion)
	p.links.Register(p.servers[3].Addr, fakes.TrafficWeights, storeInstance, firstRegion)
}

func (p *fakePlatform) publish(w fakes.Weights) {
	p.origin.Publish(w)
	p.store.Publish(w)
}

func (p *fakePlatform) close() {
	for _, s := range p.servers {
		s.Close()
	}
}

func linksConfig(l scenario.Links) fakes.LinksConfig {
	return fakes.LinksConfig{
		InstanceMbps:    float64(l.InstanceMbps),
		OriginMbps:      float64(l.OriginMbps),
		RegionMbps:      float64(l.RegionMbps),
		RegionLatencyMS: float64(l.RegionLatency) / float64(time.Millisecond),
		LocalLatencyMS:  localLatencyMS,
	}
}

// httpClient returns a client whose connections use the links of an instance.
func (p *fakePlatform) httpClient(instance core.Instance) *http.Client {
	return &http.Client{Transport: p.links.Transport(instance.ID, instance.Location)}
}
