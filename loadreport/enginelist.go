package loadreport

import (
	"bytes"
	"compress/gzip"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"io"
)

// EngineList names the engines of one service. Entries, which watch the endpoint list, send it
// to the agents of their region: if each agent read the list itself, the bytes on the links
// between regions would grow with the square of the fleet, and a start of all agents would keep
// those links busy for seconds.
type EngineList struct {
	Service string        `json:"service"`
	Engines []EngineEntry `json:"engines"` // Sorted by ID.
}

// EngineEntry is one engine of an EngineList.
type EngineEntry struct {
	ID            string `json:"id"`
	Address       string `json:"address"` // IP:port.
	FailureDomain string `json:"domain"`
	Slots         int    `json:"slots"`
	Draining      bool   `json:"draining,omitempty"`
	LoadedVersion uint64 `json:"version,omitempty"`
	StartedUnixMS int64  `json:"started,omitempty"`
}

// EngineListPart is one datagram of an encoded EngineList.
type EngineListPart struct {
	// Digest identifies the list; it is never 0.
	Digest uint64
	// Index counts from 0; there are Count parts.
	Index, Count int
	Data         []byte
}

const (
	// engineListHeaderBytes is the length of a part without its data: kind, signature, digest,
	// index, count.
	engineListHeaderBytes = 1 + sha256.Size + 8 + 1 + 1
	maxPartBytes          = MaxDatagramBytes - engineListHeaderBytes
	// maxEngineListParts bounds a list; it is enough for some 10,000 engines.
	maxEngineListParts = 255
	// maxEngineListBytes bounds a list before compression.
	maxEngineListBytes = 4 << 20
)

// engineListPurpose separates the signatures of engine lists from those of other datagrams.
const engineListPurpose = "snipestep engine list"

// IsEngineList reports whether a datagram is a part of an EngineList.
func IsEngineList(b []byte) bool {
	return len(b) > 0 && b[0] == kindEngineList
}

// Encode returns the list as datagrams signed with the fleet key, and its digest. It returns
// *FormatError for a list that does not fit into maxEngineListParts.
func (l EngineList) Encode(fleetKey []byte) (datagrams [][]byte, digest uint64, err error) {
	body, err := json.Marshal(l)
	if err != nil {
		return nil, 0, &FormatError{}
	}
	digest = engineListDigest(body)
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	_, _ = writer.Write(body) // A buffer accepts all bytes.
	_ = writer.Close()
	data := compressed.Bytes()
	count := (len(data) + maxPartBytes - 1) / maxPartBytes
	if count > maxEngineListParts {
		return nil, 0, &FormatError{Bytes: len(data)}
	}
	for index := range count {
		part := data[index*maxPartBytes : min((index+1)*maxPartBytes, len(data))]
		signed := binary.BigEndian.AppendUint64(nil, digest)
		signed = append(signed, byte(index), byte(count))
		signed = append(signed, part...)
		datagram := append([]byte{kindEngineList}, sign(fleetKey, engineListPurpose, signed)...)
		datagrams = append(datagrams, append(datagram, signed...))
	}
	return datagrams, digest, nil
}

func engineListDigest(body []byte) uint64 {
	sum := sha256.Sum256(body)
	return max(binary.BigEndian.Uint64(sum[:]), 1)
}

// DecodeEngineListPart decodes one datagram of a list and verifies its signature. It returns
// *FormatError or *SignatureError.
func DecodeEngineListPart(fleetKey, b []byte) (EngineListPart, error) {
	if !IsEngineList(b) || len(b) <= engineListHeaderBytes {
		return EngineListPart{}, &FormatError{Bytes: len(b)}
	}
	signature, signed := b[1:1+sha256.Size], b[1+sha256.Size:]
	if !hmac.Equal(signature, sign(fleetKey, engineListPurpose, signed)) {
		return EngineListPart{}, &SignatureError{Bytes: len(b)}
	}
	part := EngineListPart{Digest: binary.BigEndian.Uint64(signed), Index: int(signed[8]), Count: int(signed[9]), Data: bytes.Clone(signed[10:])}
	if part.Index >= part.Count || part.Digest == 0 {
		return EngineListPart{}, &FormatError{Bytes: len(b)}
	}
	return part, nil
}

// JoinEngineList joins the parts of one list, in order. It returns *FormatError if they are no
// list, or not the one with their digest.
func JoinEngineList(parts []EngineListPart) (EngineList, error) {
	var list EngineList
	var data []byte
	for _, part := range parts {
		data = append(data, part.Data...)
	}
	invalid := &FormatError{Bytes: len(data)}
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return list, invalid
	}
	body, err := io.ReadAll(io.LimitReader(reader, maxEngineListBytes))
	if err != nil || len(parts) == 0 || engineListDigest(body) != parts[0].Digest {
		return list, invalid
	}
	if err := json.Unmarshal(body, &list); err != nil {
		return list, invalid
	}
	return list, nil
}
