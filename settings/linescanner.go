package settings

import (
	"strings"
)

const byteOrderMark = "\uFEFF"

// keyPath identifies a key of a section, or the section itself if key is empty.
type keyPath struct {
	section string
	key     string
}

// lineIndex holds the line number of each section and key.
type lineIndex map[keyPath]int

// lineScanner builds a lineIndex and detects the errors that the INI library
// silently accepts.
type lineScanner struct {
	file    string
	section string
	index   lineIndex
}

// indexLines returns the line numbers of all sections and keys, or *Error.
func indexLines(file, text string) (lineIndex, error) {
	scanner := lineScanner{file: file, index: lineIndex{}}
	text = strings.TrimPrefix(text, byteOrderMark)
	for i, line := range strings.Split(text, "\n") {
		if err := scanner.scan(i+1, strings.TrimSpace(line)); err != nil {
			return nil, err
		}
	}
	return scanner.index, nil
}

func (s *lineScanner) scan(lineNumber int, line string) error {
	switch {
	case line == "", line[0] == '#', line[0] == ';':
		return nil
	case line[0] == '[':
		return s.scanSection(lineNumber, line)
	default:
		return s.scanKey(lineNumber, line)
	}
}

func (s *lineScanner) scanSection(lineNumber int, line string) error {
	end := strings.IndexByte(line, ']')
	if end < 0 || !isBlankOrComment(line[end+1:]) {
		return s.errorAt(lineNumber, "", ErrSyntax)
	}
	s.section = strings.TrimSpace(line[1:end])
	path := keyPath{section: s.section}
	if _, ok := s.index[path]; ok {
		return s.errorAt(lineNumber, "", ErrDuplicateSection)
	}
	s.index[path] = lineNumber
	return nil
}

func (s *lineScanner) scanKey(lineNumber int, line string) error {
	name, value, ok := strings.Cut(line, "=")
	name = strings.TrimSpace(name)
	if !ok || name == "" || strings.ContainsAny(name, "\"`") {
		return s.errorAt(lineNumber, "", ErrSyntax)
	}
	if s.section == "" {
		return s.errorAt(lineNumber, name, ErrKeyOutsideSection)
	}
	if isMultiline(strings.TrimSpace(value)) {
		return s.errorAt(lineNumber, name, ErrMultilineValue)
	}
	path := keyPath{section: s.section, key: name}
	if _, ok := s.index[path]; ok {
		return s.errorAt(lineNumber, name, ErrDuplicateKey)
	}
	s.index[path] = lineNumber
	return nil
}

func (s *lineScanner) errorAt(lineNumber int, key string, reason error) error {
	return &Error{File: s.file, Line: lineNumber, Section: s.section, Key: key, Reason: reason}
}

func isBlankOrComment(rest string) bool {
	rest = strings.TrimSpace(rest)
	return rest == "" || rest[0] == '#' || rest[0] == ';'
}

func isMultiline(value string) bool {
	return strings.HasPrefix(value, `"""`) || strings.HasPrefix(value, "`")
}
