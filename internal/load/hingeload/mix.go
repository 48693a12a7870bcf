package hingeload

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingemodel"
)

// Kind says how a class's requests are made.
type Kind uint8

// The kinds of requests.
const (
	// Completion and Chat are streamed.
	Completion Kind = iota
	Chat
	// Call is a call of a plain service.
	Call
)

// KeyKind says which idempotency key a class's requests carry.
type KeyKind uint8

// The kinds of keys.
const (
	NoKey KeyKind = iota
	// OwnKey is a name that the caller made up.
	OwnKey
	// IssuedKey was asked for with POST /v1/keys.
	IssuedKey
)

// Class is a kind of work with its targets.
type Class struct {
	Name  string
	Share float64
	Kind  Kind
	Key   KeyKind
	// Method and Path are for calls of a plain service.
	Method, Path string
	// FirstToken and TokenGap are the targets; a call has the first only, for its
	// whole answer. Deadline is when the caller gives up.
	FirstToken, TokenGap, Deadline time.Duration
	// Prompt and Output are means; a request's own are half to one and a half
	// times as many. PrefixTokens are shared with Prefixes-1 others.
	Prompt, PrefixTokens, Output hingeids.Tokens
	Prefixes                     int
}

// Mix is a firm's work.
type Mix struct {
	Name    string
	Model   hingeids.Model
	Callers int
	Classes []Class
}

// Shellfish is the work of the firm with the quay queries and dossiers, for the
// routes of examples/viviers.
func Shellfish() Mix {
	return Mix{
		Name:    "shellfish",
		Model:   "redacteur",
		Callers: hingemodel.Shellfish().Callers,
		Classes: append([]Class{
			{
				Name:       "lot-status",
				Share:      0.3,
				Kind:       Call,
				Key:        IssuedKey,
				Method:     "GET",
				Path:       "/viviers/lots/",
				FirstToken: 150 * time.Millisecond,
				Deadline:   2 * time.Second,
			},
			{
				Name:       "dispatch",
				Share:      0.1,
				Kind:       Call,
				Key:        OwnKey,
				Method:     "POST",
				Path:       "/viviers/dispatch/",
				FirstToken: 500 * time.Millisecond,
				Deadline:   10 * time.Second,
			},
		}, completions(hingemodel.Shellfish(), 0.6, "quay")...),
	}
}

// Streaming is the work of the firm with the eulogies and captions, for the
// routes of examples/smriti.
func Streaming() Mix {
	return Mix{
		Name:    "streaming",
		Model:   "smriti-lm",
		Callers: hingemodel.Streaming().Callers,
		Classes: append([]Class{
			{
				Name:       "guestbook-write",
				Share:      0.2,
				Kind:       Call,
				Key:        OwnKey,
				Method:     "POST",
				Path:       "/darshan/guestbook/",
				FirstToken: 300 * time.Millisecond,
				Deadline:   10 * time.Second,
			},
			{
				Name:       "page",
				Share:      0.3,
				Kind:       Call,
				Method:     "GET",
				Path:       "/darshan/pages/",
				FirstToken: 200 * time.Millisecond,
				Deadline:   5 * time.Second,
			},
		}, completions(hingemodel.Streaming(), 0.5, "caption")...),
	}
}

// completions takes a firm's completions from the engine model, so that both
// measure the same work. The class named chat uses the chat route, by which the
// rules tell it from the others.
func completions(f hingemodel.Workload, share float64, chat string) []Class {
	var list []Class
	for _, c := range f.Classes {
		kind := Completion
		if c.Name == chat {
			kind = Chat
		}
		list = append(list, Class{
			Name:         c.Name,
			Share:        share * c.Share,
			Kind:         kind,
			FirstToken:   c.FirstToken,
			TokenGap:     c.TokenGap,
			Deadline:     c.Deadline,
			Prompt:       c.Prompt,
			PrefixTokens: c.PrefixTokens,
			Output:       c.Output,
			Prefixes:     c.Prefixes,
		})
	}
	return list
}

// Scaled makes prompts and answers longer or shorter by a factor.
func (m Mix) Scaled(factor float64) Mix {
	m.Classes = append([]Class(nil), m.Classes...)
	for i := range m.Classes {
		c := &m.Classes[i]
		for _, n := range []*hingeids.Tokens{&c.Prompt, &c.PrefixTokens, &c.Output} {
			*n = hingeids.Tokens(float64(*n) * factor)
		}
	}
	return m
}
