package hingetoml

import (
	"encoding"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// decode implements Rule 2.
func (d *Document) decode(tree map[string]any, target any) {
	d.decodeTable("", tree, reflect.ValueOf(target).Elem())
}

func (d *Document) decodeTable(path string, tree map[string]any, v reflect.Value) {
	fields := fieldsByTag(v.Type())
	for _, key := range slices.Sorted(maps.Keys(tree)) {
		keyPath := join(path, key)
		i, ok := fields[key]
		if !ok {
			d.Problem(keyPath, "unknown key", "one of "+strings.Join(slices.Sorted(maps.Keys(fields)), ", "))
			continue
		}
		d.decodeValue(keyPath, tree[key], v.Field(i))
	}
}

func (d *Document) decodeValue(path string, value any, v reflect.Value) {
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(path, value, u)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		table, ok := value.(map[string]any)
		if !ok {
			d.addTypeError(path, value, "a table")
			return
		}
		d.decodeTable(path, table, v)
	case reflect.Pointer:
		// A pointer field is nil if its key is missing.
		v.Set(reflect.New(v.Type().Elem()))
		d.decodeValue(path, value, v.Elem())
	case reflect.Slice:
		d.decodeSlice(path, value, v)
	default:
		d.decodeScalar(path, value, v)
	}
}

func (d *Document) decodeText(path string, value any, u encoding.TextUnmarshaler) {
	text, ok := value.(string)
	if !ok {
		d.addTypeError(path, value, `text such as "250ms"`)
		return
	}
	if err := u.UnmarshalText([]byte(text)); err != nil {
		d.Problem(path, fmt.Sprintf("%q can't be read", text), `text such as "250ms" or "3s"`)
	}
}

// decodeSlice leaves the zero value for an element that can't be decoded, so
// that the indices of later elements still match their lines.
func (d *Document) decodeSlice(path string, value any, v reflect.Value) {
	list, ok := value.([]any)
	if !ok {
		d.addTypeError(path, value, "a list")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(list), len(list)))
	for i, element := range list {
		d.decodeValue(fmt.Sprintf("%s[%d]", path, i), element, v.Index(i))
	}
}

func (d *Document) decodeScalar(path string, value any, v reflect.Value) {
	switch v.Kind() {
	case reflect.String:
		if s, ok := value.(string); ok {
			v.SetString(s)
			return
		}
		d.addTypeError(path, value, "text in quotes")
	case reflect.Bool:
		if b, ok := value.(bool); ok {
			v.SetBool(b)
			return
		}
		d.addTypeError(path, value, "true or false")
	case reflect.Int, reflect.Int64:
		if i, ok := value.(int64); ok && !v.OverflowInt(i) {
			v.SetInt(i)
			return
		}
		d.addTypeError(path, value, "a whole number")
	case reflect.Float64:
		d.decodeFloat(path, value, v)
	default:
		panic("hingetoml: unsupported field type " + v.Type().String())
	}
}

func (d *Document) decodeFloat(path string, value any, v reflect.Value) {
	switch x := value.(type) {
	case float64:
		v.SetFloat(x)
	case int64:
		v.SetFloat(float64(x))
	default:
		d.addTypeError(path, value, "a number")
	}
}

func (d *Document) addTypeError(path string, value any, want string) {
	d.Problem(path, "is "+describeValue(value), want)
}

func describeValue(value any) string {
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

// fieldsByTag maps the toml tag names of a struct to its field indices.
func fieldsByTag(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("toml"), ",")
		if name != "" && name != "-" {
			fields[name] = i
		}
	}
	return fields
}
