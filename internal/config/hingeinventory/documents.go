package hingeinventory

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/config/hingetoml"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// rulesDocument is the file format of Rules, with durations as text.
type rulesDocument struct {
	KeepKeys hingetoml.Duration `toml:"keepKeys"`
	Weights  Weights            `toml:"weights"`
	Classes  []classDocument    `toml:"classes"`
	// Customers must be last, since keys after an array table belong to its last element.
	Customers []Customer `toml:"customers,omitempty"`
}

// classDocument is the format of a Class in a file or item.
type classDocument struct {
	Name        string             `toml:"name"`
	Model       hingeids.Model     `toml:"model,omitempty"`
	Service     hingeids.Service   `toml:"service,omitempty"`
	Route       string             `toml:"route,omitempty"`
	Methods     []string           `toml:"methods,omitempty"`
	Priority    int                `toml:"priority"`
	NeverRepeat bool               `toml:"neverRepeat"`
	CanWait     bool               `toml:"canWait"`
	FirstToken  hingetoml.Duration `toml:"firstToken"`
	TokenGap    hingetoml.Duration `toml:"tokenGap,omitempty"`
	Deadline    hingetoml.Duration `toml:"deadline"`
}

func (d *rulesDocument) rules() Rules {
	r := Rules{
		Weights:   d.Weights,
		KeepKeys:  time.Duration(d.KeepKeys),
		Customers: d.Customers,
	}
	for i := range d.Classes {
		r.Classes = append(r.Classes, d.Classes[i].class())
	}
	return r
}

func (d *classDocument) class() Class {
	return Class{
		Name:        d.Name,
		Model:       d.Model,
		Service:     d.Service,
		Route:       d.Route,
		Methods:     d.Methods,
		Priority:    d.Priority,
		NeverRepeat: d.NeverRepeat,
		CanWait:     d.CanWait,
		FirstToken:  time.Duration(d.FirstToken),
		TokenGap:    time.Duration(d.TokenGap),
		Deadline:    time.Duration(d.Deadline),
	}
}

func newClassDocument(c Class) classDocument {
	return classDocument{
		Name:        c.Name,
		Model:       c.Model,
		Service:     c.Service,
		Route:       c.Route,
		Methods:     c.Methods,
		Priority:    c.Priority,
		NeverRepeat: c.NeverRepeat,
		CanWait:     c.CanWait,
		FirstToken:  hingetoml.Duration(c.FirstToken),
		TokenGap:    hingetoml.Duration(c.TokenGap),
		Deadline:    hingetoml.Duration(c.Deadline),
	}
}
