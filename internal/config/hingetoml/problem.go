package hingetoml

import (
	"fmt"
	"sort"
)

// Problem is one error in a file, with the expected value.
type Problem struct {
	File string `json:"file"`
	// Line starts at 1; 0 means that the problem has no line.
	Line int `json:"line"`
	// Key is the path of the key, for example "models[0].name".
	Key string `json:"key"`
	// Text describes the error.
	Text string `json:"text"`
	// Want describes the expected value.
	Want string `json:"want"`
}

// String formats the problem in one line, like a compiler error.
func (p Problem) String() string {
	s := p.File
	if p.Line > 0 {
		s += fmt.Sprintf(":%d", p.Line)
	}
	if p.Key != "" {
		s += ": " + p.Key
	}
	s += ": " + p.Text
	if p.Want != "" {
		s += "; want " + p.Want
	}
	return s
}

// Sort sorts problems in place by file and line. It is stable.
func Sort(problems []Problem) {
	sort.SliceStable(problems, func(i, j int) bool {
		if problems[i].File != problems[j].File {
			return problems[i].File < problems[j].File
		}
		return problems[i].Line < problems[j].Line
	})
}
