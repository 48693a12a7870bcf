package hingeplacer

import "github.com/swifthinge/swifthinge/internal/decide/hingefleet"

// EngineFeed provides the changes of the engines of one service. It has one reader.
type EngineFeed interface {
	// Next returns the changes since the last call, and all engines on the first.
	Next() hingefleet.EngineChanges
}

// ListFeed is an EngineFeed that returns a complete list on each call, for callers with few engines.
type ListFeed func() []hingefleet.Engine

// Next returns all engines.
func (l ListFeed) Next() hingefleet.EngineChanges {
	return hingefleet.EngineChanges{
		Complete: true,
		Changed:  l(),
	}
}
