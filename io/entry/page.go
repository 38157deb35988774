package entry

import (
	"fmt"
	"reflect"
	"strings"
	"unicode"
)

// SettingsPage generates the Markdown reference of the settings from the fields and
// tags of Settings.
func SettingsPage() string {
	var b strings.Builder
	b.WriteString("# Settings of an entry host\n\n")
	b.WriteString("Made by `yuccadoor settings`. Each setting is a flag of `yuccadoor serve` or an environment variable; a flag wins.\n\n")
	b.WriteString("| Flag | Variable | Default | Meaning |\n| --- | --- | --- | --- |\n")
	t := reflect.TypeFor[Settings]()
	for i := range t.NumField() {
		f := t.Field(i)
		fmt.Fprintf(&b, "| `--%s` | `%s` | `%s` | %s |\n", flagName(f.Name), f.Tag.Get("env"), f.Tag.Get("default"), f.Tag.Get("help"))
	}
	return b.String()
}

// flagName converts the name of a field to the name of its flag, such as LogLevel to
// log-level.
func flagName(field string) string {
	var b strings.Builder
	for i, r := range field {
		if unicode.IsUpper(r) && i > 0 {
			b.WriteByte('-')
		}
		b.WriteRune(unicode.ToLower(r))
	}
	return b.String()
}
