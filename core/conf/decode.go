package conf

import (
	"reflect"
	"strconv"
	"time"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"yuccadoor/core/find"
)

// decoder decodes a YAML syntax tree into a struct. It records the position of
// each value, so that validation errors can include it.
type decoder struct {
	name      string
	findings  find.List
	positions map[string]find.Position // by path, for example Services[0].Kind
}

func (d *decoder) position(n ast.Node) find.Position {
	p := find.Position{Name: d.name}
	if t := n.GetToken(); t != nil && t.Position != nil {
		p.Line, p.Column = t.Position.Line, t.Position.Column
	}
	return p
}

// positionOf returns the position of the value at path or, if the document does not
// contain it, of its nearest enclosing value.
func (d *decoder) positionOf(path string) find.Position {
	for path != "" {
		if p, ok := d.positions[path]; ok {
			return p
		}
		path = parentPath(path)
	}
	return find.Position{Name: d.name, Line: 1, Column: 1}
}

func parentPath(path string) string {
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
	d.decodeValue(file.Docs[0].Body, reflect.ValueOf(into).Elem(), "")
}

func (d *decoder) decodeValue(n ast.Node, v reflect.Value, path string) {
	if path != "" {
		d.positions[path] = d.position(n)
	}
	switch {
	case v.Type() == reflect.TypeFor[time.Duration]():
		d.decodeDuration(n, v)
	case v.Kind() == reflect.Struct:
		d.decodeMapping(n, v, path)
	case v.Kind() == reflect.Slice:
		d.decodeSequence(n, v, path)
	default:
		d.decodeScalar(n, v)
	}
}

// decodeMapping decodes a mapping into a struct, whose field names are the keys.
func (d *decoder) decodeMapping(n ast.Node, v reflect.Value, path string) {
	node, ok := n.(*ast.MappingNode)
	if !ok {
		d.findings.Add(d.position(n), "expected a mapping, found %s", n.Type())
		return
	}
	seen := map[string]bool{}
	for _, entry := range node.Values {
		key := entry.Key.GetToken().Value
		field := v.FieldByName(key)
		switch {
		case !field.IsValid():
			d.findings.Add(d.position(entry.Key), "unknown field %s", key)
		case seen[key]:
			d.findings.Add(d.position(entry.Key), "duplicate field %s", key)
		default:
			seen[key] = true
			d.decodeValue(entry.Value, field, joinPath(path, key))
		}
	}
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func (d *decoder) decodeSequence(n ast.Node, v reflect.Value, path string) {
	node, ok := n.(*ast.SequenceNode)
	if !ok {
		d.findings.Add(d.position(n), "expected a list, found %s", n.Type())
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(node.Values), len(node.Values)))
	for i, item := range node.Values {
		d.decodeValue(item, v.Index(i), path+"["+strconv.Itoa(i)+"]")
	}
}

func (d *decoder) decodeDuration(n ast.Node, v reflect.Value) {
	raw := n.GetToken().Value
	value, err := time.ParseDuration(raw)
	if err != nil {
		d.findings.Add(d.position(n), "expected a duration such as 300ms, found %q", raw)
		return
	}
	v.SetInt(int64(value))
}

func (d *decoder) decodeScalar(n ast.Node, v reflect.Value) {
	if _, ok := n.(ast.ScalarNode); !ok {
		d.findings.Add(d.position(n), "expected a scalar, found %s", n.Type())
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
		d.findings.Add(d.position(n), "fields of kind %s are not supported", v.Kind())
	}
	if err != nil {
		d.findings.Add(d.position(n), "expected a %s, found %q", v.Kind(), raw)
	}
}
