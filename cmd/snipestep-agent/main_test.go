package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/settings"
)

const exampleSettings = "../../examples/namib/agent-model.ini"

func TestFetchRatesReachAgentConfig(t *testing.T) {
	agentSettings, err := settings.LoadAgent(exampleSettings)
	assert.NilError(t, err)
	cfg := agentConfig(agentSettings)
	assert.Equal(t, cfg.IdleFetchBytesPerSecond, 50e6)
	assert.Equal(t, cfg.BusyFetchBytesPerSecond, 25e6)
}

func TestBusyRateAboveIdleRateIsRejected(t *testing.T) {
	text, err := os.ReadFile(exampleSettings)
	assert.NilError(t, err)
	path := filepath.Join(t.TempDir(), "agent.ini")
	invalid := strings.Replace(string(text), "busy_rate = 200mbps", "busy_rate = 500mbps", 1)
	assert.NilError(t, os.WriteFile(path, []byte(invalid), 0o600))
	_, err = settings.LoadAgent(path)
	assert.ErrorContains(t, err, "busy_rate")
	assert.ErrorContains(t, err, path+":26:")
}
