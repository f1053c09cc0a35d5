package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/settings"
)

type sampleSettings struct {
	count int
	wait  time.Duration
	from  time.Duration
	size  int64
	rate  int64
	ratio float64
	addr  string
	names map[string]*int
}

func (s *sampleSettings) schema() settings.Schema {
	s.names = map[string]*int{}
	return settings.Schema{
		{Name: "a", Keys: []settings.Key{
			{Name: "count", Default: "3", Value: settings.Int(&s.count, 1, 10)},
			{Name: "wait", Default: "5s", Value: settings.Duration(&s.wait, time.Millisecond, time.Hour)},
			{Name: "from", Value: settings.OptionalDuration(&s.from, 0, time.Hour)},
			{Name: "size", Default: "1MiB", Value: settings.Size(&s.size, 1, 1<<30)},
			{Name: "rate", Default: "20mbps", Value: settings.Rate(&s.rate, 0, 1e12)},
			{Name: "ratio", Default: "0.5", Value: settings.Ratio(&s.ratio)},
			{Name: "addr", Default: "127.0.0.1:1", Value: settings.Address(&s.addr)},
		}},
		{Name: "b", KeysFor: func(name string) []settings.Key {
			s.names[name] = new(int)
			return []settings.Key{{Name: "n", Required: true, Value: settings.Int(s.names[name], 0, 9)}}
		}},
	}
}

func TestDefaultsAndValues(t *testing.T) {
	var s sampleSettings
	_, err := settings.Parse("f.ini", []byte("# note\n[a]\nwait = 250ms ; inline\nsize=16MiB\nrate = 1.5gbps\n[b one]\nn = 4\n"), s.schema())
	assert.NilError(t, err)
	assert.Equal(t, s.count, 3)
	assert.Equal(t, s.wait, 250*time.Millisecond)
	assert.Equal(t, s.from, settings.UnsetDuration)
	assert.Equal(t, s.size, int64(16<<20))
	assert.Equal(t, s.rate, int64(1_500_000_000))
	assert.Equal(t, *s.names["one"], 4)
}

func TestErrorsNameFileLineAndKey(t *testing.T) {
	cases := []struct {
		text string
		want string
	}{
		{"[a]\nnope = 1\n", "f.ini:2: [a] nope: key does not exist in this section"},
		{"\n[c]\n", "f.ini:2: [c] section does not exist"},
		{"[a x]\n", "f.ini:1: [a x] section does not exist"},
		{"[b]\nn=1\n", "f.ini:1: [b] section needs a name, as in [section NAME]"},
		{"[b x]\n", "f.ini:1: [b x] n: key is required"},
		{"[a]\n\ncount = 11\n", "f.ini:3: [a] count: 11 is out of range, want 1 to 10"},
		{"[a]\ncount = 1.5\n", `f.ini:2: [a] count: "1.5" is not a whole number`},
		{"[a]\ncount =\n", `f.ini:2: [a] count: "" is not a whole number`},
		{"[a]\nwait = 5\n", `f.ini:2: [a] wait: "5" is not a duration such as "250ms", "4s" or "1m30s"`},
		{"[a]\nwait = 2h\n", "f.ini:2: [a] wait: 2h is out of range, want 1ms to 1h0m0s"},
		{"[a]\nsize = 16\n", `f.ini:2: [a] size: "16" is not a size such as "64KiB", "16MiB" or "100MB"`},
		{"[a]\nrate = 20mb\n", `f.ini:2: [a] rate: "20mb" is not a rate such as "500kbps", "20mbps" or "1gbps"`},
		{"[a]\nratio = NaN\n", "f.ini:2: [a] ratio: \"NaN\" is not a ratio"},
		{"[a]\naddr = localhost:1\n", `f.ini:2: [a] addr: "localhost:1" is not an address such as "10.0.0.7:7400"`},
		{"[a]\ncount = 1\ncount = 2\n", "f.ini:3: [a] count: duplicate key"},
		{"[a]\n[a]\n", "f.ini:2: [a] duplicate section"},
		{"count = 1\n", "f.ini:1: count: key appears before the first section"},
		{"[a]\nword\n", "f.ini:2: [a] line is not a section, a comment or key = value"},
		{"[a\n", "f.ini:1: line is not a section, a comment or key = value"},
		{"[a]\naddr = \"\"\"x\n\"\"\"\n", "f.ini:2: [a] addr: multi-line values are not supported"},
	}
	for _, c := range cases {
		var s sampleSettings
		_, err := settings.Parse("f.ini", []byte(c.text), s.schema())
		assert.Error(t, err, c.want)
		var settingsErr *settings.Error
		assert.Assert(t, errors.As(err, &settingsErr))
	}
}

func TestMissingFile(t *testing.T) {
	_, err := settings.LoadEntry(filepath.Join(t.TempDir(), "none.ini"))
	assert.ErrorIs(t, err, os.ErrNotExist)
}

// TestInvalidExamplesAreRejected edits a valid example in one place per case.
func TestInvalidExamplesAreRejected(t *testing.T) {
	cases := []struct {
		example string
		from    string
		to      string
		want    string
	}{
		{"entry.ini", "guaranteed_share = 0.5", "guaranteed_share = 0.9", "guaranteed shares sum to more than 1"},
		{"entry.ini", "[rank background]", "[rank idle]", `rank "idle" does not exist`},
		{"entry.ini", "[operation counter/purchase]", "[operation purchase]", "SERVICE/OPERATION"},
		{"entry.ini", "[kind archive]\n", "[kind archive]\norganisation = nobody\n", `organisation "nobody" has no section`},
		{"entry.ini", "key = 6b61", "key = zz", `"(hidden)" is not 16 to 64 bytes`},
		{"entry.ini", "key = 6b61", "key_file = x\nkey = 6b61", "exactly one of key and key_file"},
		{"entry.ini", "key_value_url = http://10.20.0.10", "key_value_url = http://store", "is not a URL with an IP number"},
		{"agent-model.ini", "chunk_address", "; chunk_address", "[instance] chunk_address: key is required"},
		{"agent-counter.ini", "service = counter", "", "[instance] service: key is required"},
		{"agent-counter.ini", "slots = 32", "slots = 0", "[endpoint] slots: 0 is out of range"},
		{"agent-model.ini", "role = model", "role = entry", `is not one of "model", "plain"`},
	}
	for _, c := range cases {
		path := editedExample(t, c.example, c.from, c.to)
		var err error
		if strings.HasPrefix(c.example, "entry") {
			_, err = settings.LoadEntry(path)
		} else {
			_, err = settings.LoadAgent(path)
		}
		assert.ErrorContains(t, err, c.want)
		assert.ErrorContains(t, err, path+":")
	}
}

func editedExample(t *testing.T, name, from, to string) string {
	t.Helper()
	data, err := os.ReadFile("../examples/kalamu-rafiki/" + name)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(data), from), from)
	path := filepath.Join(t.TempDir(), name)
	assert.NilError(t, os.WriteFile(path, []byte(strings.Replace(string(data), from, to, 1)), 0o600))
	return path
}
