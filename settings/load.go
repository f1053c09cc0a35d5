package settings

import (
	"os"
	"strings"

	"gopkg.in/ini.v1"
)

// maxFileBytes bounds a settings file.
const maxFileBytes = 1 << 20

// File is a file that was loaded; it names the place of later faults.
type File struct {
	name  string
	lines lineIndex
}

// Load reads a file into the variables that the schema is bound to. Absent
// keys get their defaults. It returns *Error at the first fault.
func Load(path string, schema Schema) (*File, error) {
	data, err := readBounded(path)
	if err != nil {
		return nil, &Error{File: path, Reason: err}
	}
	return Parse(path, data, schema)
}

// Parse reads the text of a file as Load does; name stands in its errors.
func Parse(name string, data []byte, schema Schema) (*File, error) {
	lines, err := indexLines(name, string(data))
	if err != nil {
		return nil, err
	}
	parsed, err := ini.LoadSources(iniOptions(), data)
	if err != nil {
		return nil, &Error{File: name, Line: 1, Reason: err}
	}
	file := &File{name: name, lines: lines}
	if err := file.applyFixed(schema); err != nil {
		return nil, err
	}
	return file, file.applyGiven(parsed, schema)
}

// Defaults sets every variable of the fixed sections to its default.
func Defaults(schema Schema) error {
	file := &File{name: "defaults"}
	for _, section := range schema {
		if err := file.applyDefaults(section.Name, section.Keys); err != nil {
			return err
		}
	}
	return nil
}

// ErrorAt returns an *Error at a key of the file, or at the section when the
// key is absent or empty.
func (f *File) ErrorAt(section, key string, reason error) *Error {
	line := 1
	if at, ok := f.lines[position{section: section}]; ok {
		line = at
	}
	if at, ok := f.lines[position{section: section, key: key}]; ok {
		line = at
	}
	return &Error{File: f.name, Line: line, Section: section, Key: key, Reason: reason}
}

func (f *File) has(section, key string) bool {
	_, ok := f.lines[position{section: section, key: key}]
	return ok
}

// applyFixed sets the defaults of the fixed sections, also of absent ones.
func (f *File) applyFixed(schema Schema) error {
	for _, section := range schema {
		if err := f.applyDefaults(section.Name, section.Keys); err != nil {
			return err
		}
	}
	return nil
}

func (f *File) applyDefaults(section string, keys []Key) error {
	for _, key := range keys {
		if f.has(section, key.Name) {
			continue
		}
		if key.Required {
			return f.ErrorAt(section, key.Name, ErrMissing)
		}
		if err := key.Value.Parse(key.Default); err != nil {
			return f.ErrorAt(section, key.Name, err)
		}
	}
	return nil
}

func (f *File) applyGiven(parsed *ini.File, schema Schema) error {
	for _, section := range parsed.Sections() {
		if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		keys, err := f.openSection(section.Name(), schema)
		if err != nil {
			return err
		}
		if err := f.applyKeys(section, keys); err != nil {
			return err
		}
	}
	return nil
}

// openSection returns the keys of a section that the file has.
func (f *File) openSection(name string, schema Schema) ([]Key, error) {
	kind, argument, _ := strings.Cut(name, " ")
	section, ok := schema.find(kind)
	if !ok || (section.Open == nil && argument != "") {
		return nil, f.ErrorAt(name, "", ErrUnknownSection)
	}
	if section.Open == nil {
		return section.Keys, nil
	}
	argument = strings.TrimSpace(argument)
	if argument == "" {
		return nil, f.ErrorAt(name, "", ErrNameMissing)
	}
	keys := section.Open(argument)
	return keys, f.applyDefaults(name, keys)
}

func (f *File) applyKeys(section *ini.Section, keys []Key) error {
	for _, given := range section.Keys() {
		key, ok := findKey(keys, given.Name())
		if !ok {
			return f.ErrorAt(section.Name(), given.Name(), ErrUnknownKey)
		}
		if err := key.Value.Parse(given.Value()); err != nil {
			return f.ErrorAt(section.Name(), given.Name(), err)
		}
	}
	return nil
}

func iniOptions() ini.LoadOptions {
	return ini.LoadOptions{
		IgnoreContinuation:       true,
		KeyValueDelimiters:       "=",
		SpaceBeforeInlineComment: true,
	}
}

// readBounded reads a file of at most maxFileBytes.
func readBounded(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFileBytes {
		return nil, &RangeError{Text: "file size", Min: "0B", Max: formatSize(maxFileBytes)}
	}
	return os.ReadFile(path)
}
