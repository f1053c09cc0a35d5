package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
	"github.com/snipestep/snipestep/operator"
)

const testToken = "operator-token"

func startServer(t *testing.T) string {
	t.Helper()
	handler := operator.NewHandler(newMemoryService(), []core.Digest{fleet.TokenDigest(testToken)})
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.URL
}

// runCommands runs command lines against one server and returns their output.
func runCommands(t *testing.T, commands ...string) string {
	t.Helper()
	t.Setenv("SNIPESTEP_SERVERS", startServer(t))
	t.Setenv("SNIPESTEP_TOKEN", testToken)
	var printed bytes.Buffer
	for _, command := range commands {
		fmt.Fprintf(&printed, "$ snipestepctl %s\n", command)
		code := run(context.Background(), strings.Fields(command), &printed, &printed)
		fmt.Fprintf(&printed, "exit code %d\n\n", code)
	}
	return printed.String()
}

func TestCommandOutput(t *testing.T) {
	for name, commands := range map[string][]string{
		"push": {
			"status",
			"intent place letters v2",
			"plan diff p-1",
			"confirm p-1",
			"plan show p-1",
			"intent place letters v3 --region dar --adapter stamps --engine-role mixed --replicas 9",
			"watch",
		},
		"drain": {
			"intent drain --count 4 --stream-grace 10s --move",
			"intent drain --region dar",
			"intent drain --count 2 --stream-grace 10s --move",
			"confirm p-1",
			"status",
			"intent resume --all",
			"confirm p-2",
			"intent stop --region dar --accept-less",
			"intent stop --role plain --all",
		},
		"race": {
			"intent rank urgent --kind checklist",
			"intent rank background --guaranteed-share 0.2 --patience 1m",
			"confirm p-2",
			"confirm p-1",
			"confirm p-1 -o json",
			"plan show p-9",
			"intent rank urgent --guaranteed-share 0.9",
			"intent place other v1",
			"intent stop",
			"plan show",
		},
	} {
		t.Run(name, func(t *testing.T) {
			golden.Assert(t, runCommands(t, commands...), name+".golden")
		})
	}
}

func TestJSONOutput(t *testing.T) {
	t.Setenv("SNIPESTEP_SERVERS", startServer(t))
	t.Setenv("SNIPESTEP_TOKEN", testToken)
	for _, command := range []string{
		"intent place letters v2 -o json", "plan show p-1 -o json", "plan diff p-1 -o json",
		"confirm p-1 -o json", "status -o json", "watch -o json",
	} {
		var out, errOut bytes.Buffer
		run(context.Background(), strings.Fields(command), &out, &errOut)
		assert.Assert(t, json.Valid(out.Bytes()), "%s: %s", command, out.String())
	}
}

func TestExitCodeOfUnreachableAndUnauthorised(t *testing.T) {
	var out bytes.Buffer
	args := []string{"status", "--token", "wrong", "--server", "http://127.0.0.1:1"}
	assert.Equal(t, run(context.Background(), args, &out, &out), exitUnreachable)
	args = append(args, "--server", startServer(t))
	assert.Equal(t, run(context.Background(), args, &out, &out), exitFailure)
}

func TestSettingsFile(t *testing.T) {
	url := startServer(t)
	for text, want := range map[string]int{
		"[operator]\nservers = " + url + "\ntoken = " + testToken + "\noutput = json\ntimeout = 5s\n": exitOK,
		"[operator]\nservers = " + url + "\ntokn = x\n":                                               exitUsage,
		"[operator]\ntimeout = 5\n":                                                                   exitUsage,
		"token = x\n":                                                                                 exitUsage,
	} {
		path := filepath.Join(t.TempDir(), "ctl.ini")
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		var out, errOut bytes.Buffer
		assert.Equal(t, run(context.Background(), []string{"status", "--config", path}, &out, &errOut), want, errOut.String())
		if want == exitUsage {
			assert.Assert(t, strings.Contains(errOut.String(), "ctl.ini:"), errOut.String())
		}
	}
}
