package entry

import (
	"encoding/json"
	"runtime"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against prompts that change as messages are decoded one at a time.
func TestPromptIsMadeOfTheContents(t *testing.T) {
	for text, want := range map[string]string{
		`{"messages":[{"content":"a"},{"role":"user","content":"b"}]}`: "a\nb",
		`{"messages":[{"content":"a"}, {}, null, {"content":"b"}]}`:    "a\n\n\nb",
		`{"messages":[{"content":"a"}],"messages":[{"content":"b"}]}`:  "b",
		`{"messages":[],"prompt":"p"}`:                                 "p",
		`{"messages":null,"prompt":"p"}`:                               "p",
		`{"messages":[{}],"prompt":"p"}`:                               "",
	} {
		var request chatRequest
		assert.NilError(t, json.Unmarshal([]byte(text), &request), text)
		assert.Equal(t, promptOf(request), want, text)
	}
	for _, text := range []string{`{"messages":{}}`, `{"messages":"a"}`, `{"messages":[0]}`, `{"messages":[{"content":1}]}`} {
		var request chatRequest
		assert.Assert(t, json.Unmarshal([]byte(text), &request) != nil, text)
	}
}

// Guards against a body of a megabyte that takes many times its size while it is decoded.
func TestEmptyMessagesTakeLittleMemory(t *testing.T) {
	body := []byte(`{"messages":[` + strings.Repeat("{},", 349_000) + `{}]}`)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var request chatRequest
	assert.NilError(t, json.Unmarshal(body, &request))
	runtime.GC()
	runtime.ReadMemStats(&after)
	assert.Equal(t, request.Messages.count, 349_001)
	held := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	assert.Assert(t, held < 4<<20, "%d bytes", held)
	runtime.KeepAlive(request)
}
