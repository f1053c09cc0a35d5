package settings

import (
	"os"
	"strings"

	"gopkg.in/ini.v1"
)

// maxFileBytes limits the size of a settings file.
const maxFileBytes = 1 << 20

// File is a loaded settings file. It locates errors found by later checks.
type File struct {
	name  string
	lines lineIndex
}

// Load reads a file into the variables that the schema is bound to. Absent
// keys get their defaults. It returns *Error for the first error found.
func Load(path string, schema Schema) (*File, error) {
	data, err := readBounded(path)
	if err != nil {
		return nil, &Error{File: path, Reason: err}
	}
	return Parse(path, data, schema)
}

// Parse reads the text of a file as Load does; name is the file name in its errors.
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
	if err := file.applyFixedDefaults(schema); err != nil {
		return nil, err
	}
	return file, file.applySections(parsed, schema)
}

// ApplyDefaults sets every variable of the fixed sections to its default.
func ApplyDefaults(schema Schema) error {
	file := &File{name: "defaults"}
	for _, section := range schema {
		if err := file.applyDefaults(section.Name, section.Keys); err != nil {
			return err
		}
	}
	return nil
}

// ErrorAt returns an *Error with the line of a key, or with that of the section
// if the key is absent or empty.
func (f *File) ErrorAt(section, key string, reason error) *Error {
	line := 1
	if sectionLine, ok := f.lines[keyPath{section: section}]; ok {
		line = sectionLine
	}
	if keyLine, ok := f.lines[keyPath{section: section, key: key}]; ok {
		line = keyLine
	}
	return &Error{File: f.name, Line: line, Section: section, Key: key, Reason: reason}
}

func (f *File) hasKey(section, key string) bool {
	_, ok := f.lines[keyPath{section: section, key: key}]
	return ok
}

// applyFixedDefaults sets the defaults of keys that the file does not set, in
// the fixed sections, including absent ones.
func (f *File) applyFixedDefaults(schema Schema) error {
	for _, section := range schema {
		if err := f.applyDefaults(section.Name, section.Keys); err != nil {
			return err
		}
	}
	return nil
}

func (f *File) applyDefaults(section string, keys []Key) error {
	for _, key := range keys {
		if f.hasKey(section, key.Name) {
			continue
		}
		if key.Required {
			return f.ErrorAt(section, key.Name, ErrMissingKey)
		}
		if err := key.Value.Parse(key.Default); err != nil {
			return f.ErrorAt(section, key.Name, err)
		}
	}
	return nil
}

// applySections parses the keys that the file sets.
func (f *File) applySections(parsed *ini.File, schema Schema) error {
	for _, section := range parsed.Sections() {
		if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		keys, err := f.sectionKeys(section.Name(), schema)
		if err != nil {
			return err
		}
		if err := f.applyKeys(section, keys); err != nil {
			return err
		}
	}
	return nil
}

// sectionKeys returns the keys of a section of the file, with their defaults
// applied if the section is a named one.
func (f *File) sectionKeys(name string, schema Schema) ([]Key, error) {
	baseName, suffix, _ := strings.Cut(name, " ")
	section, ok := schema.find(baseName)
	if !ok || (section.KeysFor == nil && suffix != "") {
		return nil, f.ErrorAt(name, "", ErrUnknownSection)
	}
	if section.KeysFor == nil {
		return section.Keys, nil
	}
	suffix = strings.TrimSpace(suffix)
	if suffix == "" {
		return nil, f.ErrorAt(name, "", ErrMissingSectionName)
	}
	keys := section.KeysFor(suffix)
	return keys, f.applyDefaults(name, keys)
}

func (f *File) applyKeys(section *ini.Section, keys []Key) error {
	for _, iniKey := range section.Keys() {
		key, ok := findKey(keys, iniKey.Name())
		if !ok {
			return f.ErrorAt(section.Name(), iniKey.Name(), ErrUnknownKey)
		}
		if err := key.Value.Parse(iniKey.Value()); err != nil {
			return f.ErrorAt(section.Name(), iniKey.Name(), err)
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

// readBounded reads a file, or returns *RangeError if it exceeds maxFileBytes.
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
