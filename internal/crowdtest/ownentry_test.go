//go:build crowd && linux

package crowdtest

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/internal/loopback"
	"github.com/snipestep/snipestep/local/fakeservices"
	"github.com/snipestep/snipestep/local/load"
)

const (
	firstNetwork = 201
	lastNetwork  = 230
)

// startOwn starts an entry of the own path, with an agent of a plain service and the fakes of the
// platform.
func startOwn(t *testing.T, maxDescriptors int) *target {
	t.Helper()
	network, err := loopback.Reserve(t.Context(), firstNetwork, lastNetwork)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = network.Close() })
	dir := t.TempDir()
	start(t, 0, "snipestep-local", "fakes", dir, "--entries", "1", "--models", "0", "--plains", "1", "--network", strconv.Itoa(network.Number))
	entryFile, agentFile := filepath.Join(dir, "entry-1.ini"), filepath.Join(dir, "plain-1.ini")
	eventually(t, "the settings are written", func() bool {
		for _, file := range []string{entryFile, agentFile} {
			if info, err := os.Stat(file); err != nil || info.Size() == 0 {
				return false
			}
		}
		return true
	})
	settings, err := os.ReadFile(entryFile)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(entryFile, append(settings, "\n[limits]\nheader_timeout = 1m0s\n"...), 0o600))
	entry := &target{
		process: start(t, maxDescriptors, "snipestep-entry", entryFile),
		address: fmt.Sprintf("127.%d.0.2:8080", network.Number), host: "h.example",
		path:   purchasePath,
		header: "Authorization: Bearer " + fakeservices.CallerToken + "\r\nContent-Type: application/json\r\n",
	}
	start(t, 0, "snipestep-agent", agentFile)
	entry.needsKey = true
	entry.awaitReady(t)
	return entry
}

// purchasePath is the path of a call that an ordinary caller makes.
const purchasePath = "/v1/services/" + load.ServiceName + "/" + load.PurchaseName
