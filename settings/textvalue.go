package settings

import (
	"net/netip"
	"net/url"
	"strings"
)

// textValue is a Value that set parses and stores.
type textValue struct {
	syntax    string
	rangeText string
	set       func(value string) bool
}

// Parse implements Value.
func (t textValue) Parse(value string) error {
	if t.set(value) {
		return nil
	}
	return &FormatError{Text: value, Want: t.syntax}
}

// Syntax implements Value.
func (t textValue) Syntax() string {
	return t.syntax
}

// Range implements Value.
func (t textValue) Range() string {
	return t.rangeText
}

const (
	maxNameBytes = 128
	maxListItems = 256
)

// Name binds a key to a name of letters, digits, "-", "_" and ".".
func Name[T ~string](target *T) Value {
	return textValue{
		syntax:    `a name of letters, digits, "-", "_" and "."`,
		rangeText: "1 to 128 bytes",
		set:       func(value string) bool { return setIf(target, value, isName(value)) },
	}
}

// OptionalName binds a key to a name or to empty text.
func OptionalName[T ~string](target *T) Value {
	return textValue{
		syntax:    `a name of letters, digits, "-", "_" and ".", or empty`,
		rangeText: "0 to 128 bytes",
		set:       func(value string) bool { return setIf(target, value, value == "" || isName(value)) },
	}
}

// Text binds a key to any text.
func Text(target *string) Value {
	return textValue{syntax: "text", set: func(value string) bool { return setIf(target, value, true) }}
}

// Bool binds a key to "true" or "false".
func Bool(target *bool) Value {
	return textValue{
		syntax: `"true" or "false"`,
		set: func(value string) bool {
			*target = value == "true"
			return value == "true" || value == "false"
		},
	}
}

// Choice binds a key to one of several choices.
func Choice[T ~string](target *T, choices ...string) Value {
	return textValue{
		syntax: `one of "` + strings.Join(choices, `", "`) + `"`,
		set: func(value string) bool {
			for _, choice := range choices {
				if choice == value {
					*target = T(value)
					return true
				}
			}
			return false
		},
	}
}

// Address binds a key to IP:port; host names are rejected.
func Address(target *string) Value {
	return textValue{
		syntax: `an address such as "10.0.0.7:7400"`,
		set:    func(value string) bool { return setIf(target, value, isAddress(value)) },
	}
}

// OptionalAddress binds a key to IP:port or to empty text.
func OptionalAddress(target *string) Value {
	return textValue{
		syntax: `an address such as "10.0.0.7:7400", or empty`,
		set:    func(value string) bool { return setIf(target, value, value == "" || isAddress(value)) },
	}
}

// URL binds a key to an http or https URL whose host is an IP address.
func URL(target *string) Value {
	return textValue{
		syntax: `a URL with an IP number such as "http://10.0.0.7:8080"`,
		set:    func(value string) bool { return setIf(target, value, isURL(value)) },
	}
}

// OptionalURL binds a key to a URL as URL does, or to empty text.
func OptionalURL(target *string) Value {
	return textValue{
		syntax: `a URL with an IP number such as "http://10.0.0.7:8080", or empty`,
		set:    func(value string) bool { return setIf(target, value, value == "" || isURL(value)) },
	}
}

func setIf[T ~string](target *T, value string, ok bool) bool {
	if ok {
		*target = T(value)
	}
	return ok
}

func isName(value string) bool {
	if value == "" || len(value) > maxNameBytes {
		return false
	}
	for _, r := range value {
		if !isNameRune(r) {
			return false
		}
	}
	return true
}

func isNameRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	default:
		return r == '-' || r == '_' || r == '.'
	}
}

func isAddress(value string) bool {
	_, err := netip.ParseAddrPort(value)
	return err == nil
}

func isURL(value string) bool {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		return false
	}
	_, err = netip.ParseAddr(u.Hostname())
	return err == nil && u.User == nil && u.RawQuery == "" && u.Fragment == ""
}
