package hingetimeline

import (
	"fmt"
	"html"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

// Layout of the SVG, in pixels.
const (
	laneHeight = 44
	labelWidth = 220
	plotWidth  = 1100
	topMargin  = 40
	markRadius = 5
	// maxDetailed limits how many requests are drawn as lines and how many events are labelled with numbers.
	maxDetailed = 40
)

var markColours = map[hingeevents.Severity]string{
	hingeevents.Info:    "#2f6f9f",
	hingeevents.Warning: "#d08a00",
	hingeevents.Failure: "#b3261e",
}

// WriteSVG writes an SVG with a lane for each process and a mark with a tooltip for each event. If
// there are at most maxDetailed requests, a line joins the marks of each. Missing hosts have a
// dashed lane.
func (t Timeline) WriteSVG(w io.Writer) error {
	p := newPicture(t)
	height := topMargin + laneHeight*(len(t.Instances)+len(t.Missing)) + 20
	fmt.Fprintf(&p.b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n",
		labelWidth+plotWidth+20, height)
	p.b.WriteString(`<rect width="100%" height="100%" fill="white"/>` + "\n")
	p.axis()
	p.lanes()
	p.requests()
	for _, e := range t.Events {
		p.mark(e)
	}
	p.b.WriteString("</svg>\n")
	return write(w, p.b.String())
}

type picture struct {
	Timeline
	b           strings.Builder
	lane        map[hingeids.Instance]int
	first, last int64
}

func newPicture(t Timeline) *picture {
	p := &picture{
		Timeline: t,
		lane:     make(map[hingeids.Instance]int),
	}
	for i, l := range t.Instances {
		p.lane[l] = i
	}
	if len(t.Events) > 0 {
		p.first = t.Events[0].Stamp.Wall
		p.last = t.Events[len(t.Events)-1].Stamp.Wall
	}
	return p
}

func (p *picture) x(s hingeevents.Stamp) float64 {
	span := max(p.last-p.first, 1)
	return labelWidth + float64(plotWidth)*float64(s.Wall-p.first)/float64(span)
}

func (p *picture) y(lane int) int {
	return topMargin + laneHeight*lane + laneHeight/2
}

func (p *picture) axis() {
	fmt.Fprintf(&p.b, `<text x="%d" y="20">%s</text>`+"\n", labelWidth, time.Unix(0, p.first).UTC().Format(time.RFC3339Nano))
	fmt.Fprintf(&p.b, `<text x="%d" y="20" text-anchor="end">+%v</text>`+"\n", labelWidth+plotWidth, time.Duration(p.last-p.first))
}

func (p *picture) lanes() {
	dropped := make(map[hingeids.Instance]bool)
	for _, l := range p.Dropped {
		dropped[l] = true
	}
	for i, l := range p.Instances {
		label := fmt.Sprintf("%s (incarnation %s)", l.Host, strconv.FormatUint(uint64(l.Incarnation), 36))
		if dropped[l] {
			label += ", oldest dropped"
		}
		p.laneLine(i, label, "")
	}
	for i, h := range p.Missing {
		p.laneLine(len(p.Instances)+i, fmt.Sprintf("%s: no answer", h), ` stroke-dasharray="2 6"`)
	}
}

func (p *picture) laneLine(lane int, label, style string) {
	y := p.y(lane)
	fmt.Fprintf(&p.b, `<text x="8" y="%d">%s</text>`+"\n", y+4, html.EscapeString(label))
	fmt.Fprintf(&p.b, `<line x1="%d" y1="%d" x2="%d" y2="%d" stroke="#bbb"%s/>`+"\n", labelWidth, y, labelWidth+plotWidth, y, style)
}

func (p *picture) requests() {
	paths := make(map[hingeids.RequestID][]string)
	var order []hingeids.RequestID
	for _, e := range p.Events {
		r := e.Fields.Request
		if r.IsZero() {
			continue
		}
		if paths[r] == nil {
			order = append(order, r)
		}
		paths[r] = append(paths[r], fmt.Sprintf("%.1f,%d", p.x(e.Stamp), p.y(p.lane[e.Instance])))
	}
	if len(order) > maxDetailed {
		return
	}
	for _, r := range order {
		fmt.Fprintf(&p.b, `<polyline points="%s" fill="none" stroke="#8ab" stroke-width="1"><title>%s</title></polyline>`+"\n",
			strings.Join(paths[r], " "), html.EscapeString(r.String()))
	}
}

func (p *picture) mark(e hingeevents.Event) {
	severity := hingeevents.Warning
	if entry, ok := hingeevents.Lookup(e.Number); ok {
		severity = entry.Severity
	}
	x, y := p.x(e.Stamp), p.y(p.lane[e.Instance])
	title := fmt.Sprintf("%s %s%s", wallTime(e.Stamp), name(e.Number), fieldsText(e.Fields))
	fmt.Fprintf(&p.b, `<g><title>%s</title><circle cx="%.1f" cy="%d" r="%d" fill="%s"/></g>`+"\n",
		html.EscapeString(title), x, y, markRadius, markColours[severity])
	if len(p.Events) <= maxDetailed {
		fmt.Fprintf(&p.b, `<text x="%.1f" y="%d" font-size="9" text-anchor="middle">%d</text>`+"\n", x, y-8, e.Number)
	}
}
