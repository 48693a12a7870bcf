// Package hingetoml decodes TOML files and reports all errors of a file at
// once, each with its line and the expected value.
//
//  1. The TOML library parses the syntax. A syntax error is the only problem
//     reported for a file, since the rest of the file can't be parsed reliably.
//  2. The parsed tree is then decoded into a Go struct by its toml tags. An
//     unknown key or a value of the wrong type is reported and skipped, and
//     decoding continues with the next key.
//  3. A second pass over the syntax records the line of each key. Checks on
//     values use these lines through Document.Problem.
//
// The library's strict mode isn't used, because it stops at the first value of
// the wrong type.
package hingetoml

import (
	"errors"

	"github.com/pelletier/go-toml/v2"
)

// Document is one decoded file with the problems found in it. It is not safe
// for concurrent use.
type Document struct {
	File     string
	Problems []Problem
	lines    map[string]int
}

// Read decodes a file's contents into the struct that target points to. Fields
// whose keys are not in the file keep their values.
func Read(file string, data []byte, target any) *Document {
	d := &Document{
		File: file,
	}
	var tree map[string]any
	if err := toml.Unmarshal(data, &tree); err != nil {
		d.addSyntaxError(err)
		return d
	}
	d.lines = indexLines(data)
	d.decode(tree, target)
	return d
}

// addSyntaxError adds the parser's error as the only problem. Rule 1.
func (d *Document) addSyntaxError(err error) {
	line := 0
	var e *toml.DecodeError
	if errors.As(err, &e) {
		line, _ = e.Position()
	}
	d.Problems = append(d.Problems, Problem{
		File: d.File,
		Line: line,
		Text: err.Error(),
		Want: "TOML",
	})
}

// Line returns the line of a key path, or else that of its nearest ancestor in
// the file. It returns 0 if the file has neither.
func (d *Document) Line(path string) int {
	for path != "" {
		if line, ok := d.lines[path]; ok {
			return line
		}
		path = parent(path)
	}
	return 0
}

// Problem adds a problem at a key path; want is what is expected instead.
func (d *Document) Problem(path, text, want string) {
	d.Problems = append(d.Problems, Problem{
		File: d.File,
		Line: d.Line(path),
		Key:  path,
		Text: text,
		Want: want,
	})
}
