package fakes

import (
	"encoding/base64"
	"encoding/json"

	"github.com/snipestep/snipestep/core"
)

// cacheHandle is the content of an exported KV cache handle.
type cacheHandle struct {
	Manifest   core.Digest `json:"manifest"`
	PrefixHash uint64      `json:"prefix"`
	Tokens     int         `json:"tokens"`
}

func (h cacheHandle) encode() string {
	data, _ := json.Marshal(h)
	return base64.RawURLEncoding.EncodeToString(data)
}

func decodeCacheHandle(text string) (cacheHandle, bool) {
	var handle cacheHandle
	data, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return handle, false
	}
	return handle, json.Unmarshal(data, &handle) == nil
}
