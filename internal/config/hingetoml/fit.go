package hingetoml

import (
	"encoding"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// fit carries out Rule 2.
func (d *Document) fit(tree map[string]any, into any) {
	d.fitTable("", tree, reflect.ValueOf(into).Elem())
}

func (d *Document) fitTable(path string, tree map[string]any, v reflect.Value) {
	fields := fieldsOf(v.Type())
	for _, key := range slices.Sorted(maps.Keys(tree)) {
		at := join(path, key)
		i, ok := fields[key]
		if !ok {
			d.Problem(at, "unknown key", "one of "+strings.Join(slices.Sorted(maps.Keys(fields)), ", "))
			continue
		}
		d.fitValue(at, tree[key], v.Field(i))
	}
}

func (d *Document) fitValue(path string, value any, v reflect.Value) {
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.fitText(path, value, u)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		table, ok := value.(map[string]any)
		if !ok {
			d.wrongType(path, value, "a table")
			return
		}
		d.fitTable(path, table, v)
	case reflect.Pointer:
		// A value that may be missing.
		v.Set(reflect.New(v.Type().Elem()))
		d.fitValue(path, value, v.Elem())
	case reflect.Slice:
		d.fitSlice(path, value, v)
	default:
		d.fitScalar(path, value, v)
	}
}

func (d *Document) fitText(path string, value any, u encoding.TextUnmarshaler) {
	text, ok := value.(string)
	if !ok {
		d.wrongType(path, value, `text such as "250ms"`)
		return
	}
	if err := u.UnmarshalText([]byte(text)); err != nil {
		d.Problem(path, fmt.Sprintf("%q can't be read", text), `text such as "250ms" or "3s"`)
	}
}

// fitSlice keeps the place of an element that doesn't fit, so that the indices
// of those after it still name their lines.
func (d *Document) fitSlice(path string, value any, v reflect.Value) {
	list, ok := value.([]any)
	if !ok {
		d.wrongType(path, value, "a list")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(list), len(list)))
	for i, element := range list {
		d.fitValue(fmt.Sprintf("%s[%d]", path, i), element, v.Index(i))
	}
}

func (d *Document) fitScalar(path string, value any, v reflect.Value) {
	switch v.Kind() {
	case reflect.String:
		if s, ok := value.(string); ok {
			v.SetString(s)
			return
		}
		d.wrongType(path, value, "text in quotes")
	case reflect.Bool:
		if b, ok := value.(bool); ok {
			v.SetBool(b)
			return
		}
		d.wrongType(path, value, "true or false")
	case reflect.Int, reflect.Int64:
		if i, ok := value.(int64); ok && !v.OverflowInt(i) {
			v.SetInt(i)
			return
		}
		d.wrongType(path, value, "a whole number")
	case reflect.Float64:
		d.fitFloat(path, value, v)
	default:
		panic("hingetoml: no rule for " + v.Type().String())
	}
}

func (d *Document) fitFloat(path string, value any, v reflect.Value) {
	switch x := value.(type) {
	case float64:
		v.SetFloat(x)
	case int64:
		v.SetFloat(float64(x))
	default:
		d.wrongType(path, value, "a number")
	}
}

func (d *Document) wrongType(path string, value any, want string) {
	d.Problem(path, "is "+describe(value), want)
}

func describe(value any) string {
	switch x := value.(type) {
	case map[string]any:
		return "a table"
	case []any:
		return "a list"
	case string:
		return fmt.Sprintf("text %q", x)
	default:
		return fmt.Sprint(x)
	}
}

// fieldsOf maps the toml names of a struct to its field numbers.
func fieldsOf(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("toml"), ",")
		if name != "" && name != "-" {
			fields[name] = i
		}
	}
	return fields
}
