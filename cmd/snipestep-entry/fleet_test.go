package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/local/load"
	"github.com/snipestep/snipestep/telemetry"
)

const streamBody = `{"model":"` + load.ModelName + `","prompt":"p","max_tokens":60,"stream":true}`

// startStream starts a streaming call and reads the first line of its response.
func (f *testFleet) startStream(entryIndex int) *bufio.Reader {
	f.t.Helper()
	response := f.startRequest(entryIndex, "/v1/completions", streamBody)
	f.t.Cleanup(func() { _ = response.Body.Close() })
	assert.Equal(f.t, response.StatusCode, http.StatusOK)
	events := bufio.NewReader(response.Body)
	_, err := events.ReadString('\n')
	assert.NilError(f.t, err)
	return events
}

// assertStreamComplete reads the rest of a stream and checks that it is not
// truncated.
func assertStreamComplete(t *testing.T, events *bufio.Reader) {
	t.Helper()
	var text strings.Builder
	_, err := events.WriteTo(&text)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasSuffix(strings.TrimSpace(text.String()), "data: [DONE]"), text.String())
	assert.Assert(t, strings.Contains(text.String(), `"completion_tokens":60`), text.String())
}

func TestFleetOfSeparateProcesses(t *testing.T) {
	f := newTestFleet(t)
	f.placeVersion("v1")
	purchase := "/v1/services/" + load.ServiceName + "/" + load.PurchaseName
	for entry := range f.entryURLs {
		f.waitUntil("both endpoints are in routing", func() bool {
			purchased, _ := f.post(entry, purchase, "{}")
			completion, _ := f.post(entry, "/v1/completions", `{"model":"`+load.ModelName+`","prompt":"p","max_tokens":1}`)
			return purchased == http.StatusOK && completion == http.StatusOK
		})
	}
	status, first := f.post(0, purchase, "{}")
	assert.Equal(t, status, http.StatusOK, first)
	f.waitUntil("the resent request gets the first response", func() bool {
		status, resent := f.post(1, purchase, "{}")
		return status == http.StatusOK && resent == first
	})
	for _, url := range f.metricsURLs {
		f.waitUntil("metrics are reported", func() bool {
			return strings.Contains(f.get(url+"/metrics"), "snipestep_"+telemetry.MetricDatagramsReceived)
		})
	}

	events := f.startStream(0)
	f.processes["entry-1"].stop(t)
	assertStreamComplete(t, events)
	f.processes["entry-1"].assertExited(t)

	events = f.startStream(1)
	f.processes["model-1"].stop(t)
	assertStreamComplete(t, events)
	f.processes["model-1"].assertExited(t)

	for _, name := range []string{"plain-1", "entry-2", "fakes"} {
		f.processes[name].stop(t)
		f.processes[name].assertExited(t)
	}
}

func TestSettingsAreChecked(t *testing.T) {
	bin := buildPrograms(t)
	for program, example := range map[string]string{
		"snipestep-entry": "../../examples/namib/entry.ini",
		"snipestep-agent": "../../examples/namib/agent-model.ini",
	} {
		path := filepath.Join(bin, program)
		status, out := runToExit(t, path, "--check", example)
		assert.Equal(t, status, 0, out)
		text, err := os.ReadFile(example)
		assert.NilError(t, err)
		invalidPath := filepath.Join(t.TempDir(), "bad.ini")
		before, after, found := strings.Cut(string(text), "[instance]\n")
		assert.Assert(t, found)
		line := strings.Count(before, "\n") + 2
		assert.NilError(t, os.WriteFile(invalidPath, []byte(before+"[instance]\nidd = x\n"+after), 0o600))
		for _, args := range [][]string{{"--check", invalidPath}, {invalidPath}} {
			status, out = runToExit(t, path, args...)
			assert.Equal(t, status, 2, out)
			assert.Assert(t, strings.Contains(out, fmt.Sprintf("%s:%d", invalidPath, line)), out)
			assert.Assert(t, strings.Contains(out, "idd"), out)
			assert.Equal(t, strings.Count(strings.TrimSpace(out), "\n"), 0, out)
		}
	}
}
