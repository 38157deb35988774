package conf

import (
	"reflect"
	"strconv"
	"time"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"yuccadoor/core/find"
)

// decoder fills a struct from a syntax tree and remembers where each value
// stood, so that later checks can name the place too.
type decoder struct {
	name     string
	findings find.List
	places   map[string]find.Position // by path, such as Services[0].Kind
}

func (d *decoder) place(n ast.Node) find.Position {
	p := find.Position{Name: d.name}
	if t := n.GetToken(); t != nil && t.Position != nil {
		p.Line, p.Column = t.Position.Line, t.Position.Column
	}
	return p
}

// at gives the place of a path, or of the nearest enclosing one that stands in
// the text.
func (d *decoder) at(path string) find.Position {
	for path != "" {
		if p, ok := d.places[path]; ok {
			return p
		}
		path = parent(path)
	}
	return find.Position{Name: d.name, Line: 1, Column: 1}
}

func parent(path string) string {
	for i := len(path) - 1; i > 0; i-- {
		if path[i] == '.' || path[i] == '[' {
			return path[:i]
		}
	}
	return ""
}

func (d *decoder) decode(text []byte, into any) {
	file, err := parser.ParseBytes(text, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		d.findings.Add(find.Position{Name: d.name}, "%s", err.Error())
		return
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		d.findings.Add(find.Position{Name: d.name}, "expected one document, found %d", len(file.Docs))
		return
	}
	d.value(file.Docs[0].Body, reflect.ValueOf(into).Elem(), "")
}

func (d *decoder) value(n ast.Node, v reflect.Value, path string) {
	if path != "" {
		d.places[path] = d.place(n)
	}
	switch {
	case v.Type() == reflect.TypeFor[time.Duration]():
		d.duration(n, v)
	case v.Kind() == reflect.Struct:
		d.mapping(n, v, path)
	case v.Kind() == reflect.Slice:
		d.sequence(n, v, path)
	default:
		d.scalar(n, v)
	}
}

func (d *decoder) mapping(n ast.Node, v reflect.Value, path string) {
	node, ok := n.(*ast.MappingNode)
	if !ok {
		d.findings.Add(d.place(n), "expected fields, found %s", n.Type())
		return
	}
	seen := map[string]bool{}
	for _, entry := range node.Values {
		key := entry.Key.GetToken().Value
		field := v.FieldByName(key)
		switch {
		case !field.IsValid():
			d.findings.Add(d.place(entry.Key), "unknown field %s", key)
		case seen[key]:
			d.findings.Add(d.place(entry.Key), "field %s stands twice", key)
		default:
			seen[key] = true
			d.value(entry.Value, field, join(path, key))
		}
	}
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func (d *decoder) sequence(n ast.Node, v reflect.Value, path string) {
	node, ok := n.(*ast.SequenceNode)
	if !ok {
		d.findings.Add(d.place(n), "expected a list, found %s", n.Type())
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(node.Values), len(node.Values)))
	for i, item := range node.Values {
		d.value(item, v.Index(i), path+"["+strconv.Itoa(i)+"]")
	}
}

func (d *decoder) duration(n ast.Node, v reflect.Value) {
	raw := n.GetToken().Value
	value, err := time.ParseDuration(raw)
	if err != nil {
		d.findings.Add(d.place(n), "expected a duration such as 300ms, found %q", raw)
		return
	}
	v.SetInt(int64(value))
}

func (d *decoder) scalar(n ast.Node, v reflect.Value) {
	if _, ok := n.(ast.ScalarNode); !ok {
		d.findings.Add(d.place(n), "expected a single value, found %s", n.Type())
		return
	}
	raw := n.GetToken().Value
	var err error
	switch v.Kind() {
	case reflect.String:
		v.SetString(raw)
	case reflect.Bool:
		var b bool
		b, err = strconv.ParseBool(raw)
		v.SetBool(b)
	case reflect.Int:
		var i int64
		i, err = strconv.ParseInt(raw, 10, 32)
		v.SetInt(i)
	case reflect.Float64:
		var f float64
		f, err = strconv.ParseFloat(raw, 64)
		v.SetFloat(f)
	default:
		d.findings.Add(d.place(n), "no values of kind %s are known", v.Kind())
	}
	if err != nil {
		d.findings.Add(d.place(n), "expected a %s, found %q", v.Kind(), raw)
	}
}
