package main

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"
)

const settingsSection = "operator"

// SettingsError reports an error in the settings file.
type SettingsError struct {
	File   string
	Line   int // 0 if the error concerns no single line.
	Key    string
	Detail string
}

// Error implements error.
func (e *SettingsError) Error() string {
	position := e.File
	if e.Line > 0 {
		position = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Key == "" {
		return fmt.Sprintf("%s: %s", position, e.Detail)
	}
	return fmt.Sprintf("%s: key %q: %s", position, e.Key, e.Detail)
}

// UsageError reports invalid or missing arguments.
type UsageError struct {
	Detail string
}

// Error implements error.
func (e *UsageError) Error() string {
	return e.Detail
}

// Settings can come from the command line, the environment and a file, in this
// order of precedence.
type Settings struct {
	Servers []string
	Token   string
	Output  string
	Timeout time.Duration
}

// readSettings reads an INI file with one section, operator. It returns
// *SettingsError.
func readSettings(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &SettingsError{File: path, Detail: err.Error()}
	}
	file, err := ini.Load(data)
	if err != nil {
		return Settings{}, &SettingsError{File: path, Detail: err.Error()}
	}
	r := &settingsReader{path: path, data: data}
	for _, section := range file.Sections() {
		if err := r.readSection(section); err != nil {
			return Settings{}, err
		}
	}
	return r.settings, nil
}

type settingsReader struct {
	path     string
	data     []byte
	settings Settings
}

func (r *settingsReader) readSection(section *ini.Section) error {
	for _, key := range section.Keys() {
		if section.Name() != settingsSection {
			return r.errorAt(key.Name(), "must be in section ["+settingsSection+"]")
		}
		if err := r.readKey(key); err != nil {
			return r.errorAt(key.Name(), err.Error())
		}
	}
	return nil
}

var (
	errUnknownKey = eris.New("unknown, want servers, token, output or timeout")
	errOutput     = eris.New("must be table or json")
	errTimeout    = eris.New("must be a duration with a unit, above 0 and at most 10m")
	errNoServers  = eris.New("must name at least one server")
)

const maxTimeout = 10 * time.Minute

func (r *settingsReader) readKey(key *ini.Key) error {
	value := key.String()
	switch key.Name() {
	case "servers":
		r.settings.Servers = key.Strings(",")
		if len(r.settings.Servers) == 0 {
			return errNoServers
		}
	case "token":
		r.settings.Token = value
	case "output":
		if value != outputTable && value != outputJSON {
			return errOutput
		}
		r.settings.Output = value
	case "timeout":
		timeout, err := time.ParseDuration(value)
		if err != nil || timeout <= 0 || timeout > maxTimeout {
			return errTimeout
		}
		r.settings.Timeout = timeout
	default:
		return errUnknownKey
	}
	return nil
}

func (r *settingsReader) errorAt(key, detail string) error {
	return &SettingsError{File: r.path, Line: lineOf(r.data, key), Key: key, Detail: detail}
}

// lineOf returns the number of the first line that sets a key, counted from 1, or
// 0 if there is none.
func lineOf(data []byte, key string) int {
	scanner := bufio.NewScanner(bytes.NewReader(data))
	for line := 1; scanner.Scan(); line++ {
		name, _, found := strings.Cut(scanner.Text(), "=")
		if found && strings.TrimSpace(name) == key {
			return line
		}
	}
	return 0
}
