package settings

import (
	"fmt"
	"strings"
)

// Reference returns the page that lists every key of the programs' settings
// in Markdown.
func Reference() string {
	var b strings.Builder
	b.WriteString("# Settings\n\n")
	b.WriteString("Generated from the key tables by `go test ./settings -update`.\n")
	writeSchema(&b, "snipestep-entry", newEntryLoader().schema())
	writeSchema(&b, "snipestep-agent", newAgentLoader().schema())
	writeSchema(&b, "snipestep-direct", newDirectLoader().schema())
	return b.String()
}

// SchemaReference returns the Markdown section that lists the keys of a schema.
func SchemaReference(title string, schema Schema) string {
	var b strings.Builder
	writeSchema(&b, title, schema)
	return b.String()
}

func writeSchema(b *strings.Builder, title string, schema Schema) {
	fmt.Fprintf(b, "\n## %s\n", title)
	for _, section := range schema {
		writeSection(b, section)
	}
}

func writeSection(b *strings.Builder, section Section) {
	name, keys := section.Name, section.Keys
	if section.KeysFor != nil {
		name, keys = section.Name+" NAME", section.KeysFor("example")
	}
	fmt.Fprintf(b, "\n### [%s]\n\n%s\n\n", name, section.Doc)
	b.WriteString("| key | form | default | range | meaning |\n| --- | --- | --- | --- | --- |\n")
	for _, key := range keys {
		fmt.Fprintf(b, "| `%s` | %s | %s | %s | %s |\n", key.Name, key.Value.Syntax(), defaultText(key), key.Value.Range(), key.Doc)
	}
}

func defaultText(key Key) string {
	switch {
	case key.Required:
		return "required"
	case key.Default == "":
		return "empty"
	default:
		return "`" + key.Default + "`"
	}
}
