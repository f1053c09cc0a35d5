package backing

import "github.com/snipestep/snipestep/core"

// EntryDocument is the JSON form of a KeyValueEntry, with the value in base64.
type EntryDocument struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

func (d EntryDocument) entry() KeyValueEntry {
	return KeyValueEntry(d)
}

// ListDocument is the response to KeyValue.List.
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

// LeaseDocument is the response to KeyValue.Grant.
type LeaseDocument struct {
	Lease LeaseID `json:"lease"`
}

// InstancesDocument is the response of the instance list.
type InstancesDocument struct {
	Instances []core.Instance `json:"instances"`
}
