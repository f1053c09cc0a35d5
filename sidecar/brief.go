package sidecar

import (
	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/loadreport"
)

// applyBrief puts the excerpt of the document that an entry sent in force, unless a
// document is known. It ignores the brief of another service.
func (r *Reconciler) applyBrief(data []byte) {
	if r.deps.Directory.View().Document != nil {
		return
	}
	brief, err := loadreport.DecodeAgentConfig(r.config.FleetKey, data)
	if err != nil {
		r.deps.Logger.Warn("brief rejected", "error", err)
		return
	}
	if brief.Service.Name != r.config.Service {
		r.deps.Logger.Warn("brief is for another service", "service", brief.Service.Name)
		return
	}
	r.deps.Logger.Info("document learnt from an entry", "version", brief.DocumentVersion)
	r.deps.Directory.SetDocument(documentFromBrief(brief))
}

// documentFromBrief returns the part of the document that a brief holds.
func documentFromBrief(brief loadreport.AgentConfig) *directory.Document {
	s := brief.Service
	services := map[string]*directory.Service{
		s.Name: {
			Name: s.Name, Model: s.Model,
			Engine: &directory.Engine{Slots: s.Slots, Layers: s.Layers, Chunks: s.Chunks, ChunkBytes: s.ChunkBytes, PrefillTokensPerSecond: s.PrefillTokensPerSecond},
		},
	}
	if o := brief.Origin; o.Address != "" {
		services[o.Name] = &directory.Service{Name: o.Name, Origin: o.Address, OriginDomain: o.Domain}
	}
	return &directory.Document{Version: brief.DocumentVersion, Services: services}
}
