package main

import (
	"bytes"
	"context"
	"maps"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/internal/fakes"
)

// Guards against a confirmation that may have been carried out and that is reported
// as refused, failed or not received.
func TestExitCodeOfEndlessResponse(t *testing.T) {
	answers := fakes.EndlessHeads()
	maps.Copy(answers, fakes.EndlessBodies("HTTP/1.1 200 OK", "", "{}", "                "))
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			server, err := fakes.StartEndlessServer(answer)
			assert.NilError(t, err)
			t.Cleanup(server.Close)
			for command, want := range map[string]int{"status": exitUnreachable, "plan show p-1": exitUnreachable, "confirm p-1": exitOutcomeUnknown} {
				var out bytes.Buffer
				args := append(strings.Fields(command), "--token", testToken, "--server", "http://"+server.Address())
				assert.Equal(t, run(context.Background(), args, &out, &out), want, "%s: %s", command, out.String())
				assert.Assert(t, (<-server.Ended()).PeerClosed)
			}
		})
	}
}

func TestExitCodeOfConfirmationThatWasNotSent(t *testing.T) {
	var out bytes.Buffer
	args := []string{"confirm", "p-1", "--token", testToken, "--server", "http://127.0.0.1:1"}
	assert.Equal(t, run(context.Background(), args, &out, &out), exitUnreachable)
}
