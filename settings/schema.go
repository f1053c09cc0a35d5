package settings

// Value parses the text of a key into the variable it is bound to.
type Value interface {
	// Parse sets the variable. It returns *FormatError or *RangeError.
	Parse(text string) error
	// Syntax describes the form and unit of the text.
	Syntax() string
	// Range describes the accepted values; empty means any.
	Range() string
}

// Key declares one key of a section.
type Key struct {
	Name string
	// Default is parsed if the key is absent; it must be valid.
	Default string
	// Required keys have no default.
	Required bool
	Doc      string
	Value    Value
}

// Section declares one section of a file. A fixed section has Keys; a named
// section, which occurs as [section NAME] any number of times, has KeysFor.
type Section struct {
	Name string
	Doc  string
	Keys []Key
	// KeysFor returns the keys of the section with the given name, bound to
	// new variables.
	KeysFor func(name string) []Key
}

// Schema declares the sections of a file.
type Schema []Section

// find returns the section with the given name.
func (s Schema) find(name string) (Section, bool) {
	for _, section := range s {
		if section.Name == name {
			return section, true
		}
	}
	return Section{}, false
}

// findKey returns the key with the given name.
func findKey(keys []Key, name string) (Key, bool) {
	for _, key := range keys {
		if key.Name == name {
			return key, true
		}
	}
	return Key{}, false
}
