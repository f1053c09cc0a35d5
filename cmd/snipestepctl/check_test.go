package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const soundDocument = `{"version": 2, "services": [{"name": "a"}], "tenants": [{"name": "o", "api_keys": ["top-secret-key"]}],
	"routes": [{"name": "r", "host": "h.example", "prefix": "/r/", "type": "idempotent", "service": "a"}]}`

// startDocumentStore serves a document at its key as the platform's store does, none if empty.
func startDocumentStore(t *testing.T, document string) (address string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		entries := "[]"
		if document != "" {
			entries = fmt.Sprintf(`[{"key": %q, "value": %q, "data": %[2]q, "revision": 3}]`, r.URL.Query().Get("prefix"), base64.StdEncoding.EncodeToString([]byte(document)))
		}
		_, _ = fmt.Fprintf(w, `{"entries": %s, "has_more": false, "at": 3}`, entries)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against a script that sends a document because the check's exit status did not tell of
// its mistakes, or of a check that was not made.
func TestExitCodeOfCheck(t *testing.T) {
	path := filepath.Join(t.TempDir(), "document.json")
	assert.NilError(t, os.WriteFile(path, []byte(soundDocument), 0o600))
	faulty := filepath.Join(t.TempDir(), "faulty.json")
	assert.NilError(t, os.WriteFile(faulty, []byte(strings.Replace(soundDocument, `"service": "a"`, `"service": "b"`, 1)), 0o600))
	older := startDocumentStore(t, strings.Replace(soundDocument, `"version": 2`, `"version": 1`, 1))
	newer := startDocumentStore(t, strings.Replace(soundDocument, `"version": 2`, `"version": 3`, 1))
	for _, test := range []struct {
		args string
		code int
		want string // A part of the output.
	}{
		{"check " + path, exitOK, ""},
		{"check -o json " + path, exitOK, `"findings": []`},
		{"check " + faulty, exitFailure, "unknown-service"},
		{"check " + path + "x", exitUsage, "no such file"},
		{"check /dev/null", exitUsage, "no JSON"},
		{"check --against " + faulty + " " + path, exitFailure, `"b 1" -> "a 1"`},
		{"check --against store --store " + older + " " + path, exitOK, ""},
		{"check --against store --store " + newer + " " + path, exitFailure, "older-version"},
		{"check --against store --store " + startDocumentStore(t, "") + " " + path, exitUsage, "no document"},
		{"check --against store --store 127.0.0.1:1 " + faulty, exitUsage, "unknown-service"},
		{"check --against store " + path, exitUsage, "--store"},
	} {
		var out bytes.Buffer
		assert.Equal(t, run(t.Context(), strings.Fields(test.args), &out, &out), test.code, "%s: %s", test.args, &out)
		assert.Assert(t, strings.Contains(out.String(), test.want), "%s: %s", test.args, &out)
		assert.Assert(t, !strings.Contains(out.String(), "top-secret-key"))
	}
}

func TestJSONOutputOfCheck(t *testing.T) {
	path := filepath.Join(t.TempDir(), "document.json")
	assert.NilError(t, os.WriteFile(path, []byte(`{"version": 1, "routes": [{"type": "streaming"}]}`), 0o600))
	var out, errOut bytes.Buffer
	assert.Equal(t, run(t.Context(), []string{"check", "-o", "json", path}, &out, &errOut), exitFailure)
	assert.Assert(t, json.Valid(out.Bytes()), out.String())
}
