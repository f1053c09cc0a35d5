package fakeservices

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/internal/fakes"
	"github.com/snipestep/snipestep/local/load"
	"github.com/snipestep/snipestep/local/serving"
	"github.com/snipestep/snipestep/local/syntheticweights"
)

const (
	slots            = 8
	firstTokenDelay  = 80 * time.Millisecond
	tokenInterval    = 20 * time.Millisecond
	loadDuration     = 200 * time.Millisecond
	plainServiceTime = 20 * time.Millisecond
	listLag          = time.Second
	weightsBytes     = 16_000_000
	seed             = 1
)

// versions are the published versions of the model.
var versions = []string{"v1", "v2"}

// Serve writes the settings files and serves the fake services until ctx ends. It
// fails if an address is in use or a file cannot be written.
func Serve(ctx context.Context, options Options) error {
	handlers := platformHandlers(options)
	for _, instance := range layout(options) {
		path, err := writeSettings(options.Dir, instance)
		if err != nil {
			return err
		}
		printCommand(options, instance, path)
		if instance.Role != core.RoleEntry {
			handlers[instance.addr(endpointPort)] = endpointHandler(instance)
		}
	}
	for addr, handler := range handlers {
		server, err := serving.Start(ctx, addr, handler)
		if err != nil {
			return err
		}
		defer server.Close()
	}
	<-ctx.Done()
	return nil
}

// printCommand prints the command that starts an instance. Write errors are
// ignored.
func printCommand(options Options, instance localInstance, path string) {
	program := "snipestep-agent"
	if instance.Role == core.RoleEntry {
		program = "snipestep-entry"
	}
	_, _ = fmt.Fprintln(options.Progress, program, path)
}

// platformHandlers returns the fake platform services by address.
func platformHandlers(options Options) map[string]http.Handler {
	list := fakes.NewInstanceList(listLag, time.Now)
	var instances []core.Instance
	for _, instance := range layout(options) {
		instances = append(instances, instance.Instance)
	}
	list.Set(instances)
	origin, store := fakes.NewOrigin(), fakes.NewWeightStore(0, 0, time.Now)
	for _, version := range versions {
		generated := syntheticweights.Generate(seed, version, weightsBytes)
		origin.Publish(generated)
		store.Publish(generated)
	}
	return map[string]http.Handler{
		hostAddr(options.Network, platformHost, keyValuePort): fakes.NewKeyValue(time.Now),
		hostAddr(options.Network, platformHost, listPort):     list,
		hostAddr(options.Network, platformHost, storePort):    store,
		hostAddr(options.Network, platformHost, originPort):   origin,
	}
}

func endpointHandler(instance localInstance) http.Handler {
	if instance.Role == core.RolePlain {
		config := fakes.PlainServiceConfig{Operations: []string{load.PurchaseName}, Slots: slots, ServiceTime: plainServiceTime}
		return fakes.NewPlainService(config, fakes.NewRunCounter())
	}
	return fakes.NewEngine(fakes.EngineConfig{
		Slots:           slots,
		FirstTokenDelay: firstTokenDelay,
		TokenInterval:   tokenInterval,
		LoadDuration:    loadDuration,
		ChecksFencing:   true,
		ChunkDigests:    syntheticweights.ChunkDigests,
	})
}
