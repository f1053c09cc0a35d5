package sidecar

import (
	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/loadreport"
)

// applyAgentConfig makes the agent configuration that an entry sent the current
// document, unless a document is known. It ignores that of another service.
func (r *Reconciler) applyAgentConfig(data []byte) {
	if r.deps.Directory.View().Document != nil {
		return
	}
	agentConfig, err := loadreport.DecodeAgentConfig(r.config.FleetKey, data)
	if err != nil {
		r.deps.Logger.Warn("agent configuration rejected", "error", err)
		return
	}
	if agentConfig.Service.Name != r.config.Service {
		r.deps.Logger.Warn("agent configuration is for another service", "service", agentConfig.Service.Name)
		return
	}
	r.deps.Logger.Info("document learnt from an entry", "version", agentConfig.DocumentVersion)
	r.deps.Directory.SetDocument(documentFromAgentConfig(agentConfig))
}

// documentFromAgentConfig returns a document with the services of an agent
// configuration.
func documentFromAgentConfig(agentConfig loadreport.AgentConfig) *directory.Document {
	service := agentConfig.Service
	services := map[string]*directory.Service{
		service.Name: {
			Name: service.Name, Model: service.Model,
			Engine: &directory.Engine{Slots: service.Slots, Layers: service.Layers, Chunks: service.Chunks, ChunkBytes: service.ChunkBytes, PrefillTokensPerSecond: service.PrefillTokensPerSecond},
		},
	}
	if origin := agentConfig.Origin; origin.Address != "" {
		services[origin.Name] = &directory.Service{Name: origin.Name, OriginAddress: origin.Address, OriginFailureDomain: origin.FailureDomain}
	}
	return &directory.Document{Version: agentConfig.DocumentVersion, Services: services}
}
