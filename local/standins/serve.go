package standins

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/internal/fakes"
	"github.com/snipestep/snipestep/local/load"
	"github.com/snipestep/snipestep/local/madeweights"
	"github.com/snipestep/snipestep/local/serving"
)

const (
	slots      = 8
	firstToken = 80 * time.Millisecond
	perToken   = 20 * time.Millisecond
	loadTime   = 200 * time.Millisecond
	service    = 20 * time.Millisecond
	listLag    = time.Second
	modelBytes = 16_000_000
	seed       = 1
)

// versions are the versions of the model that can be placed.
var versions = []string{"v1", "v2"}

// Serve writes the settings and serves the stand-ins until ctx ends. It
// returns the error of an address that is taken or a file that cannot be
// written.
func Serve(ctx context.Context, o Options) error {
	handlers := platformHandlers(o)
	for _, m := range layout(o) {
		path, err := writeSettings(o.Dir, m)
		if err != nil {
			return err
		}
		say(o, m, path)
		if m.Role != core.RoleEntry {
			handlers[m.addr(endpointPort)] = endpointHandler(m)
		}
	}
	for addr, handler := range handlers {
		started, err := serving.Start(ctx, addr, handler)
		if err != nil {
			return err
		}
		defer started.Close()
	}
	<-ctx.Done()
	return nil
}

// say prints the command that starts an instance. A lost line changes
// nothing.
func say(o Options, m member, path string) {
	program := "snipestep-agent"
	if m.Role == core.RoleEntry {
		program = "snipestep-entry"
	}
	_, _ = fmt.Fprintln(o.Progress, program, path)
}

// platformHandlers returns the platform's services by address.
func platformHandlers(o Options) map[string]http.Handler {
	list := fakes.NewInstanceList(listLag, time.Now)
	var instances []core.Instance
	for _, m := range layout(o) {
		instances = append(instances, m.Instance)
	}
	list.Set(instances)
	origin, store := fakes.NewOrigin(), fakes.NewWeightStore(0, 0, time.Now)
	for _, version := range versions {
		made := madeweights.Generate(seed, version, modelBytes)
		origin.Publish(made)
		store.Publish(made)
	}
	return map[string]http.Handler{
		hostAddr(o.Network, platformHost, keyValuePort): fakes.NewKeyValue(time.Now),
		hostAddr(o.Network, platformHost, listPort):     list,
		hostAddr(o.Network, platformHost, storePort):    store,
		hostAddr(o.Network, platformHost, originPort):   origin,
	}
}

func endpointHandler(m member) http.Handler {
	if m.Role == core.RolePlain {
		config := fakes.PlainConfig{Operations: []string{load.PurchaseName}, Slots: slots, Service: service}
		return fakes.NewPlain(config, fakes.NewLedger())
	}
	return fakes.NewEngine(fakes.EngineConfig{
		Slots:         slots,
		FirstToken:    firstToken,
		PerToken:      perToken,
		Load:          loadTime,
		ChecksFencing: true,
		ChunkDigests:  madeweights.ChunkDigests,
	})
}
