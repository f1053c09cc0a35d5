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

const stream = `{"model":"` + load.ModelName + `","prompt":"p","max_tokens":60,"stream":true}`

// startStream starts a streamed call and reads its first event.
func (f *testFleet) startStream(entry int) *bufio.Reader {
	f.t.Helper()
	answer := f.open(entry, "/v1/completions", stream)
	f.t.Cleanup(func() { _ = answer.Body.Close() })
	assert.Equal(f.t, answer.StatusCode, http.StatusOK)
	events := bufio.NewReader(answer.Body)
	_, err := events.ReadString('\n')
	assert.NilError(f.t, err)
	return events
}

// assertWhole reads the rest of a stream and checks that it was not cut.
func assertWhole(t *testing.T, events *bufio.Reader) {
	t.Helper()
	var text strings.Builder
	_, err := events.WriteTo(&text)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasSuffix(strings.TrimSpace(text.String()), "data: [DONE]"), text.String())
	assert.Assert(t, strings.Contains(text.String(), `"completion_tokens":60`), text.String())
}

func TestSeparateProcesses(t *testing.T) {
	f := newTestFleet(t)
	f.place("v1")
	purchase := "/v1/services/" + load.ServiceName + "/" + load.PurchaseName
	for entry := range f.urls {
		f.until("both endpoints are in routing", func() bool {
			bought, _ := f.post(entry, purchase, "{}")
			short, _ := f.post(entry, "/v1/completions", `{"model":"`+load.ModelName+`","prompt":"p","max_tokens":1}`)
			return bought == http.StatusOK && short == http.StatusOK
		})
	}
	status, first := f.post(0, purchase, "{}")
	assert.Equal(t, status, http.StatusOK, first)
	f.until("the resend gets the first answer", func() bool {
		status, again := f.post(1, purchase, "{}")
		return status == http.StatusOK && again == first
	})
	for _, url := range f.checks {
		f.until("metrics are reported", func() bool {
			return strings.Contains(f.get(url+"/metrics"), "snipestep_"+telemetry.MetricDatagramsReceived)
		})
	}

	events := f.startStream(0)
	f.programs["entry-1"].stop(t)
	assertWhole(t, events)
	f.programs["entry-1"].assertEnded(t)

	events = f.startStream(1)
	f.programs["model-1"].stop(t)
	assertWhole(t, events)
	f.programs["model-1"].assertEnded(t)

	for _, name := range []string{"plain-1", "entry-2", "fakes"} {
		f.programs[name].stop(t)
		f.programs[name].assertEnded(t)
	}
}

func TestSettingsAreChecked(t *testing.T) {
	bin := buildPrograms(t)
	for program, example := range map[string]string{
		"snipestep-entry": "../../examples/namib/entry.ini",
		"snipestep-agent": "../../examples/namib/agent-model.ini",
	} {
		path := filepath.Join(bin, program)
		status, out := exitStatus(t, path, "--check", example)
		assert.Equal(t, status, 0, out)
		text, err := os.ReadFile(example)
		assert.NilError(t, err)
		bad := filepath.Join(t.TempDir(), "bad.ini")
		before, after, found := strings.Cut(string(text), "[instance]\n")
		assert.Assert(t, found)
		line := strings.Count(before, "\n") + 2
		assert.NilError(t, os.WriteFile(bad, []byte(before+"[instance]\nidd = x\n"+after), 0o600))
		for _, args := range [][]string{{"--check", bad}, {bad}} {
			status, out = exitStatus(t, path, args...)
			assert.Equal(t, status, 2, out)
			assert.Assert(t, strings.Contains(out, fmt.Sprintf("%s:%d", bad, line)), out)
			assert.Assert(t, strings.Contains(out, "idd"), out)
			assert.Equal(t, strings.Count(strings.TrimSpace(out), "\n"), 0, out)
		}
	}
}
