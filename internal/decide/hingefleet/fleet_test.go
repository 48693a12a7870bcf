package hingefleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// steady is the mean demand of today's deployments, 10.4 streams a second.
func steady(time.Duration) float64 {
	return 10.4
}

// bursts doubles the mean for four seconds in each ten, as callers do when a boat comes in.
func bursts(t time.Duration) float64 {
	if t%(10*time.Second) >= 6*time.Second {
		return 20.8
	}
	return 10.4
}

// mean plays a pattern with ten seeds and gives the sums.
func mean(p loadPattern, way func([]Engine) placing) outcome {
	if p.spread == 0 {
		p.spread = simSpread
	}
	var sum outcome
	for seed := range uint64(10) {
		o := newSim(p, seed, way).play()
		sum.Asked += o.Asked
		sum.OnTime += o.OnTime
		sum.Late += o.Late
		sum.Refused += o.Refused
		sum.Failed += o.Failed
		sum.Preempted += o.Preempted
		sum.RefusedLate += o.RefusedLate
		sum.OwnRead += o.OwnRead
	}
	return sum
}

// want checks that shares of what was asked lie within bounds.
func want(t *testing.T, o outcome, name string, n int, least, most float64) {
	t.Helper()
	if share := float64(n) / float64(o.Asked); share < least || share > most {
		t.Errorf("%s: %.3f of %d asked, want %.3f to %.3f: %+v", name, share, o.Asked, least, most, o)
	}
}

// The mean demand fits the engines with room to spare. Every caller is to have a first
// event in time, and nothing is to be prefilled twice.
func TestOrdinaryDemandIsAllOnTime(t *testing.T) {
	o := mean(loadPattern{
		lasts:    30 * time.Second,
		perSec:   steady,
		prefills: 3,
		decodes:  6,
	}, fleetOf)
	want(t, o, "on time", o.OnTime, 0.99, 1)
	want(t, o, "preempted", o.Preempted, 0, 0.002)
}

// Bursts of twice the mean come again and again, and hints are off by half. Counting slots lets
// 48 streams onto an engine whose memory holds 14: it throws the newest out,
// and its callers see the stream pause while their prompt is worked again.
func TestBurstsOverfillNoEngine(t *testing.T) {
	p := loadPattern{
		lasts:    40 * time.Second,
		perSec:   bursts,
		prefills: 3,
		decodes:  5,
	}
	o, other := mean(p, fleetOf), mean(p, leastOf)
	t.Logf("ours %+v", o)
	t.Logf("by the number of streams %+v", other)
	want(t, o, "on time", o.OnTime, 0.93, 1)
	want(t, o, "preempted", o.Preempted, 0, 0.02)
	if other.Preempted < 5*o.Preempted || other.OnTime > o.OnTime+o.Asked/20 {
		t.Errorf("counting streams is as good: %+v, ours %+v", other, o)
	}
}

// Demand is twice what the engines can serve, for a minute. What is served must
// stay near what they can serve, and whoever can't be served is to be told before
// a silent wait has used up his time.
func TestSaturationServesWhatFits(t *testing.T) {
	p := loadPattern{
		lasts: time.Minute,
		perSec: func(time.Duration) float64 {
			return 34
		},
		prefills: 3,
		decodes:  4,
	}
	o := mean(p, fleetOf)
	t.Logf("%+v", o)
	// Four engines serve some 15 streams a second, 0.44 of 34.
	want(t, o, "served", o.OnTime+o.Late, 0.42, 0.60)
	want(t, o, "failed", o.Failed, 0, 0.02)
	want(t, o, "preempted", o.Preempted, 0, 0.03)
	want(t, o, "refused", o.Refused, 0.38, 0.58)
	want(t, o, "refused after an eighth of the target", o.RefusedLate, 0, 0.35)
}

// One engine of six turns slow, five times. Streams on it hold memory five times as
// long and come to their end after their callers' time; work has to go elsewhere as soon as
// its pace is known.
func TestSlowEngineGetsLittle(t *testing.T) {
	o := mean(loadPattern{
		lasts:    30 * time.Second,
		perSec:   steady,
		prefills: 3,
		decodes:  6,
		slow:     1,
	}, fleetOf)
	t.Logf("%+v", o)
	want(t, o, "on time", o.OnTime, 0.93, 1)
	want(t, o, "failed", o.Failed, 0, 0.05)
}

// One of three engines that prefill turns slow, five times, while its heartbeats say that it is
// well. Prompts handed out in turn would have every third caller wait half a second and more
// for his first event, and those behind it longer.
func TestSlowPrefillEngineGetsLittle(t *testing.T) {
	o := mean(loadPattern{
		lasts:        30 * time.Second,
		perSec:       steady,
		prefills:     3,
		decodes:      6,
		slowPrefills: 1,
	}, fleetOf)
	t.Logf("%+v", o)
	want(t, o, "on time", o.OnTime, 0.97, 1)
}

// Every engine loses one answer in twenty. If each loss took its engine away for a
// second or more, six engines would serve like two, and callers would be refused by a
// fleet that idles.
func TestSingleFailuresTakeNoEngineAway(t *testing.T) {
	o := mean(loadPattern{
		lasts:    30 * time.Second,
		perSec:   steady,
		prefills: 3,
		decodes:  6,
		failing:  0.05,
	}, fleetOf)
	t.Logf("%+v", o)
	want(t, o, "failed", o.Failed, 0.03, 0.07)
	want(t, o, "on time", o.OnTime, 0.90, 1)
	want(t, o, "refused", o.Refused, 0, 0.01)
}

// engines gives two decode engines and one that prefills, in one zone.
func engines() []Engine {
	return []Engine{
		{
			Server: "prefill",
			Role:   Prefill,
			Slots:  4,
			Memory: 20000,
		},
		{
			Server: "decode-1",
			Role:   Decode,
			Slots:  4,
			Memory: 20000,
		},
		{
			Server: "decode-2",
			Role:   Decode,
			Slots:  4,
			Memory: 20000,
		},
	}
}

// taught gives a fleet that knows how fast engines are, as it does after the first streams of a day.
func taught() *Fleet {
	f := New()
	for range boundAfter {
		f.paces.decode.take(simPace, fleetWeight)
		f.paces.read.take(simReads*simPace, fleetWeight)
		f.paces.prompt.take(simPrompt, fleetWeight)
	}
	return f
}

func wantOf(id StreamID, now time.Time) Want {
	return Want{
		ID:       id,
		Owner:    "entry-1",
		Prompt:   5000,
		Expected: 5000,
		Arrived:  now,
		Target:   900 * time.Millisecond,
		Patience: 3 * time.Second,
		Deadline: now.Add(14 * time.Second),
	}
}

// An entry host is killed. What its streams held is free again once it has been silent
// for a while, and not before: its engines may still be at work.
func TestStreamsOfASilentOwnerAreForgotten(t *testing.T) {
	f := taught()
	now := simStart
	f.SetEngines(engines())
	f.Report(now, "entry-1", []Progress{
		{
			ID:       "a",
			Decode:   "decode-1",
			Prompt:   5000,
			Expected: 5000,
		},
	})
	f.Step(now.Add(2 * time.Second))
	if f.Streams() != 1 {
		t.Fatal("the streams of an owner that may live were forgotten")
	}
	f.Step(now.Add(3 * time.Second))
	if f.Streams() != 0 {
		t.Fatal("the streams of an owner that is gone still count")
	}
}

// A grant is on its way when the next report of its owner leaves, which doesn't name it
// yet. If that ended it, the same memory would be granted twice.
func TestReportThatCrossesAGrantDoesNotEndIt(t *testing.T) {
	f := taught()
	now := simStart
	f.SetEngines(engines())
	f.Offer(now, wantOf("a", now))
	if d := f.Step(now); len(d) != 1 || d[0].Refused {
		t.Fatalf("not granted: %+v", d)
	}
	f.Report(now, "entry-1", nil)
	if f.Streams() != 1 {
		t.Fatal("a grant that its owner hasn't heard of was ended")
	}
	f.Step(now.Add(2 * time.Second))
	if f.Streams() != 0 {
		t.Fatal("a grant that nobody speaks of still counts")
	}
}

// Half of the mean demand is asked for twice as long, and a want that waits is
// offered again and again. Demand counts it once, in engines.
func TestDemandIsWhatIsAskedFor(t *testing.T) {
	f := taught()
	f.SetEngines(engineList(loadPattern{
		prefills: 3,
		decodes:  6,
	}))
	now := simStart
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		w := Want{
			ID:       "x",
			Prompt:   5500,
			Expected: 3000,
			Arrived:  now,
		}
		f.Offer(now, w)
		f.Offer(now.Add(firstOffer), w)
		f.queue = nil
	}
	// Ten a second: 55,000 prompt tokens, and 7,000 tokens held for two seconds each.
	d := f.Demand(now)
	if d.Prefill < 0.9 || d.Prefill > 1.1 || d.Decode < 1.28 || d.Decode > 1.56 {
		t.Fatalf("want 1 and 1.42 engines: %+v", d)
	}
}

// BenchmarkPlace places one stream on fleets of several sizes whose engines have six streams each, with no other that
// waits, and with two hundred that wait for memory.
func BenchmarkPlace(b *testing.B) {
	for _, engines := range []int{9, 45, 90, 360, 1440, 6400} {
		for _, waiting := range []int{0, 200} {
			b.Run(fmt.Sprintf("engines=%d/waiting=%d", engines, waiting), func(b *testing.B) {
				benchmarkPlace(b, engines, waiting)
			})
		}
	}
}

func benchmarkPlace(b *testing.B, engines, waiting int) {
	f := taught()
	now := simStart
	list := engineList(loadPattern{
		prefills: engines / 3,
		decodes:  engines - engines/3,
	})
	f.SetEngines(list)
	var running []Progress
	for i, e := range list {
		for n := range 6 {
			if e.Role != Decode {
				continue
			}
			running = append(running, Progress{
				ID:       StreamID(fmt.Sprintf("%d/%d", i, n)),
				Decode:   e.Server,
				Prompt:   5200,
				Expected: 5000,
				Made:     hingeids.Tokens(300 * n),
			})
		}
	}
	f.Report(now, "entry-1", running)
	for i := range waiting {
		w := wantOf(StreamID(fmt.Sprint("waits", i)), now)
		w.Prompt = simMemory
		w.Moved = true
		f.Offer(now, w)
	}
	b.ReportAllocs()
	for b.Loop() {
		f.Offer(now, wantOf("next", now))
		f.Step(now)
		f.Cancel("next")
	}
}
