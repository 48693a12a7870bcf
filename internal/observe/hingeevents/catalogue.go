package hingeevents

import "sort"

// area is a section of the catalogue, with its own table in docs/EVENTS.md.
type area struct {
	title string
	// first is the lowest number of the area, which has areaSize numbers (rule 3).
	first   Number
	entries []Entry
}

// areaSize is the number of event numbers reserved for an area.
const areaSize = 100

var areas = []area{
	{
		title:   "Request path",
		first:   100,
		entries: pathEntries,
	},
	{
		title:   "Configuration log",
		first:   200,
		entries: logEntries,
	},
	{
		title:   "Membership and announcements",
		first:   300,
		entries: membershipEntries,
	},
	{
		title:   "Decode slots and allocations",
		first:   400,
		entries: slotEntries,
	},
	{
		title:   "Ledger of requests that run at most once",
		first:   500,
		entries: ledgerEntries,
	},
	{
		title:   "Orders to engines",
		first:   600,
		entries: orderEntries,
	},
	{
		title:   "Decisions under load",
		first:   700,
		entries: decisionEntries,
	},
	{
		title:   "Settings and operators",
		first:   800,
		entries: operatorEntries,
	},
	{
		title:   "The process itself",
		first:   900,
		entries: processEntries,
	},
}

var byNumber = index()

func index() map[Number]Entry {
	m := make(map[Number]Entry)
	for _, a := range areas {
		for _, e := range a.entries {
			m[e.Number] = e
		}
	}
	return m
}

// Lookup returns the catalogue entry of a number.
func Lookup(n Number) (Entry, bool) {
	e, ok := byNumber[n]
	return e, ok
}

// Catalogue returns all entries, ordered by number.
func Catalogue() []Entry {
	out := make([]Entry, 0, len(byNumber))
	for _, e := range byNumber {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool {
		return out[i].Number < out[j].Number
	})
	return out
}
