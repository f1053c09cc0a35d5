package sidecar

import (
	"bytes"
	"log/slog"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/loadreport"
)

// All agents start at once while the document is large. Each gets the part of it that
// it needs from an entry.
func TestAgentConfigProvidesTheFirstDocument(t *testing.T) {
	key := bytes.Repeat([]byte{7}, 32)
	d := directory.New(slog.New(slog.DiscardHandler))
	r := &Reconciler{config: Config{Service: "lm", FleetKey: key}, deps: Deps{Directory: d, Logger: slog.New(slog.DiscardHandler)}}
	send := func(b loadreport.AgentConfig, key []byte) {
		data, err := b.Encode(key)
		assert.NilError(t, err)
		r.applyAgentConfig(data)
	}
	agentConfig := loadreport.AgentConfig{
		DocumentVersion: 9,
		Service:         loadreport.ServiceConfig{Name: "lm", Model: "m", Slots: 12, Layers: 16, Chunks: 64, ChunkBytes: 32768, PrefillTokensPerSecond: 30600},
		Origin:          loadreport.OriginConfig{Name: "o", Address: "10.0.0.1:80", FailureDomain: "a"},
	}
	send(agentConfig, []byte("another key"))
	otherServiceConfig := agentConfig
	otherServiceConfig.Service.Name = "other"
	send(otherServiceConfig, key)
	assert.Assert(t, d.View().Document == nil)
	send(agentConfig, key)
	document := d.View().Document
	assert.Equal(t, document.Version, uint64(9))
	assert.DeepEqual(t, document.Services["lm"], &directory.Service{
		Name: "lm", Model: "m", Engine: &directory.Engine{Slots: 12, Layers: 16, Chunks: 64, ChunkBytes: 32768, PrefillTokensPerSecond: 30600},
	})
	assert.Equal(t, document.OriginService().OriginAddress, "10.0.0.1:80")
	agentConfig.DocumentVersion = 10
	send(agentConfig, key)
	assert.Equal(t, d.View().Document.Version, uint64(9), "an agent configuration does not replace a known document")
}
