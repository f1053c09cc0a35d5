package keeper

import (
	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/loadreport"
)

// takeBrief puts what an entry told of the document in force, while no document
// is known. A brief of another service is left alone.
func (k *Keeper) takeBrief(data []byte) {
	if k.deps.Directory.View().Document != nil {
		return
	}
	brief, err := loadreport.DecodeBrief(k.config.FleetKey, data)
	if err != nil {
		k.deps.Logger.Warn("brief not usable", "error", err)
		return
	}
	if brief.Service.Name != k.config.Service {
		k.deps.Logger.Warn("brief is of another service", "service", brief.Service.Name)
		return
	}
	k.deps.Logger.Info("document learnt from an entry", "version", brief.Document)
	k.deps.Directory.SetDocument(documentOf(brief))
}

// documentOf returns the part of a document that a brief holds.
func documentOf(brief loadreport.Brief) *directory.Document {
	s := brief.Service
	services := map[string]*directory.Service{
		s.Name: {
			Name: s.Name, Model: s.Model,
			Engine: &directory.Engine{Slots: s.Slots, Layers: s.Layers, Chunks: s.Chunks, ChunkBytes: s.ChunkBytes, ReadRate: s.ReadRate},
		},
	}
	if o := brief.Origin; o.Address != "" {
		services[o.Name] = &directory.Service{Name: o.Name, Origin: o.Address, OriginDomain: o.Domain}
	}
	return &directory.Document{Version: brief.Document, Services: services}
}
