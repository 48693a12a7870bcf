package hingetoml

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

type lineIndex struct {
	parser unstable.Parser
	lines  map[string]int
	// counts is the number of elements read so far of each array table.
	counts map[string]int
	// table is the path of the current table.
	table string
}

// indexLines returns the line of every key path of a syntactically valid document.
func indexLines(data []byte) map[string]int {
	x := &lineIndex{
		lines:  make(map[string]int),
		counts: make(map[string]int),
	}
	x.parser.Reset(data)
	for x.parser.NextExpression() {
		e := x.parser.Expression()
		switch e.Kind {
		case unstable.Table:
			x.table = x.indexKey("", e.Key())
		case unstable.ArrayTable:
			x.openArrayTable(e)
		case unstable.KeyValue:
			x.indexKeyValue(x.table, e)
		default:
		}
	}
	return x.lines
}

// openArrayTable starts the next element of an array table: the first
// "[[models]]" starts models[0], the second models[1].
func (x *lineIndex) openArrayTable(e *unstable.Node) {
	key := e.Key()
	path, line := "", 0
	for key.Next() {
		n := key.Node()
		line = x.line(n)
		path = join(path, string(n.Data))
		if !key.IsLast() {
			path = x.lastElement(path)
		}
	}
	i := x.counts[path]
	x.counts[path]++
	x.table = fmt.Sprintf("%s[%d]", path, i)
	x.record(path, line)
	x.record(x.table, line)
}

// indexKey returns the path of a key below a prefix and records the line of each part.
func (x *lineIndex) indexKey(prefix string, key unstable.Iterator) string {
	path := prefix
	for key.Next() {
		n := key.Node()
		path = join(path, string(n.Data))
		x.record(path, x.line(n))
		path = x.lastElement(path)
	}
	return path
}

func (x *lineIndex) indexKeyValue(prefix string, e *unstable.Node) {
	x.indexValue(x.indexKey(prefix, e.Key()), e.Value())
}

func (x *lineIndex) indexValue(path string, n *unstable.Node) {
	switch n.Kind {
	case unstable.InlineTable:
		for c := n.Children(); c.Next(); {
			x.indexKeyValue(path, c.Node())
		}
	case unstable.Array:
		i := 0
		for c := n.Children(); c.Next(); {
			element := fmt.Sprintf("%s[%d]", path, i)
			if c.Node().Raw.Length > 0 {
				x.record(element, x.parser.Shape(c.Node().Raw).Start.Line)
			}
			x.indexValue(element, c.Node())
			i++
		}
	default:
	}
}

// lastElement returns the path of the last element read of an array table, or
// the path itself if it isn't an array table.
func (x *lineIndex) lastElement(path string) string {
	if n := x.counts[path]; n > 0 {
		return fmt.Sprintf("%s[%d]", path, n-1)
	}
	return path
}

func (x *lineIndex) line(n *unstable.Node) int {
	return x.parser.Shape(n.Raw).Start.Line
}

func (x *lineIndex) record(path string, line int) {
	if _, ok := x.lines[path]; !ok {
		x.lines[path] = line
	}
}

func join(prefix, key string) string {
	if prefix == "" {
		return key
	}
	return prefix + "." + key
}

// parent removes the last key or index of a path: "models[0].name" becomes
// "models[0]", then "models", then "".
func parent(path string) string {
	i := strings.LastIndexAny(path, ".[")
	if i < 0 {
		return ""
	}
	return path[:i]
}
