package backing

import "github.com/snipestep/snipestep/core"

// EntryDocument is one key in JSON. The value is encoded in base64.
type EntryDocument struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

func (d EntryDocument) entry() KeyValueEntry {
	return KeyValueEntry(d)
}

// ListDocument is the answer to a list of keys.
type ListDocument struct {
	Entries []EntryDocument `json:"entries"`
}

func (d ListDocument) entries() []KeyValueEntry {
	entries := make([]KeyValueEntry, 0, len(d.Entries))
	for _, entry := range d.Entries {
		entries = append(entries, entry.entry())
	}
	return entries
}

// LeaseDocument is the answer to a grant.
type LeaseDocument struct {
	Lease LeaseID `json:"lease"`
}

// InstancesDocument is the answer of the instance list.
type InstancesDocument struct {
	Instances []core.Instance `json:"instances"`
}
