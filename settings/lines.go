package settings

import (
	"strings"
)

const byteOrderMark = "\uFEFF"

// position names a key of a section; an empty key stands for the section.
type position struct {
	section string
	key     string
}

// lineIndex holds the line at which each section and key stands.
type lineIndex map[position]int

// lineScanner builds a lineIndex and finds the faults that the INI library
// accepts in silence.
type lineScanner struct {
	file    string
	section string
	index   lineIndex
}

// indexLines returns the lines of all sections and keys, or *Error.
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

func (s *lineScanner) scan(number int, line string) error {
	switch {
	case line == "", line[0] == '#', line[0] == ';':
		return nil
	case line[0] == '[':
		return s.scanSection(number, line)
	default:
		return s.scanKey(number, line)
	}
}

func (s *lineScanner) scanSection(number int, line string) error {
	end := strings.IndexByte(line, ']')
	if end < 0 || !isComment(line[end+1:]) {
		return s.fault(number, "", ErrSyntax)
	}
	s.section = strings.TrimSpace(line[1:end])
	at := position{section: s.section}
	if _, ok := s.index[at]; ok {
		return s.fault(number, "", ErrDuplicateSection)
	}
	s.index[at] = number
	return nil
}

func (s *lineScanner) scanKey(number int, line string) error {
	name, value, ok := strings.Cut(line, "=")
	name = strings.TrimSpace(name)
	if !ok || name == "" || strings.ContainsAny(name, "\"`") {
		return s.fault(number, "", ErrSyntax)
	}
	if s.section == "" {
		return s.fault(number, name, ErrNoSection)
	}
	if isMultiline(strings.TrimSpace(value)) {
		return s.fault(number, name, ErrMultiline)
	}
	at := position{section: s.section, key: name}
	if _, ok := s.index[at]; ok {
		return s.fault(number, name, ErrDuplicateKey)
	}
	s.index[at] = number
	return nil
}

func (s *lineScanner) fault(number int, key string, reason error) error {
	return &Error{File: s.file, Line: number, Section: s.section, Key: key, Reason: reason}
}

func isComment(rest string) bool {
	rest = strings.TrimSpace(rest)
	return rest == "" || rest[0] == '#' || rest[0] == ';'
}

func isMultiline(value string) bool {
	return strings.HasPrefix(value, `"""`) || strings.HasPrefix(value, "`")
}
