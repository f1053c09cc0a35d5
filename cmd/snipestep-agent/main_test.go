package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/settings"
)

const example = "../../examples/namib/agent-model.ini"

func TestPaceOfTheSettingsReachesTheAgent(t *testing.T) {
	s, err := settings.LoadAgent(example)
	assert.NilError(t, err)
	c := agentConfig(s)
	assert.Equal(t, c.IdleFetchBytesPerSecond, 50e6)
	assert.Equal(t, c.BusyFetchBytesPerSecond, 25e6)
}

func TestBusyRateAboveIdleRateIsRefused(t *testing.T) {
	text, err := os.ReadFile(example)
	assert.NilError(t, err)
	path := filepath.Join(t.TempDir(), "agent.ini")
	bad := strings.Replace(string(text), "busy_rate = 200mbps", "busy_rate = 500mbps", 1)
	assert.NilError(t, os.WriteFile(path, []byte(bad), 0o600))
	_, err = settings.LoadAgent(path)
	assert.ErrorContains(t, err, "busy_rate")
	assert.ErrorContains(t, err, path+":26:")
}
