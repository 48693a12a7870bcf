package hingefleet

import (
	"testing"
	"time"
)

// Guards against defaults that influence the estimate after the first sample.
func TestFirstSampleReplacesDefault(t *testing.T) {
	var e estimates
	e.minDecodeRate = 50
	if e.usualDecodeRate() != defaultRateFactor*e.minDecodeRate {
		t.Fatalf("decode rate is %v without samples", e.usualDecodeRate())
	}
	e.decodeRate.add(7, fleetWeight)
	if e.usualDecodeRate() != 7 {
		t.Fatalf("decode rate is %v after a sample of 7", e.usualDecodeRate())
	}
	e.decodeRate.add(9, fleetWeight)
	if e.usualDecodeRate() != 8 {
		t.Fatalf("decode rate is %v after samples of 7 and 9", e.usualDecodeRate())
	}
	for range 200 {
		e.decodeRate.add(100, fleetWeight)
	}
	if e.usualDecodeRate() < 99 {
		t.Fatalf("decode rate is %v after 200 samples of 100", e.usualDecodeRate())
	}
}

// Guards against one slow prefill engine reducing the estimate for all, which would refuse streams
// that the others can still serve in time.
func TestSlowSamplesWeighLess(t *testing.T) {
	var e estimates
	for i := range 300 {
		sample := 50000.0
		if i%3 == 0 {
			sample = 10000
		}
		e.prefillRate.addUpper(sample, prefillRateWeight)
	}
	if e.usualPrefillRate() < 40000 || e.usualPrefillRate() > 50000 {
		t.Fatalf("prefill rate is %v after samples of 50,000 and, one in three, 10,000", e.usualPrefillRate())
	}
}

// Prefill is the bottleneck, as two of three prefill engines are slow. Guards against refusals
// while decode engines have capacity to prefill the prompts themselves.
func TestDecodeEnginesPrefillWhenPrefillIsSaturated(t *testing.T) {
	p := loadPattern{
		duration: 30 * time.Second,
		requestsPerSecond: func(time.Duration) float64 {
			return 16
		},
		prefillers:     3,
		decoders:       8,
		slowPrefillers: 2,
	}
	o := runSeeds(p, newFleetPlacer)
	t.Logf("%+v", o)
	if o.DecodePrefilled < o.Requested/20 {
		t.Errorf("only %d of %d prompts were prefilled by decode engines", o.DecodePrefilled, o.Requested)
	}
	checkShare(t, o, "on time", o.OnTime, 0.90, 1)
	checkShare(t, o, "refused", o.Refused, 0, 0.02)
}

// The permitted time between events is shorter than a prefill on a decode engine. Guards against
// prefilling there, which would make all streams of the engine late.
func TestNoPrefillOnDecoderThatDelaysItsStreams(t *testing.T) {
	f := trainedFleet()
	now := simStart
	f.SetEngines(engines()[1:])
	busy := requestOf("busy", now)
	busy.PromptTokens = 1000
	busy.MaxEventGap = time.Second
	f.Enqueue(now, busy)
	f.Step(now)
	now = now.Add(time.Second)
	f.HandleReport(now, "entry-1", []Progress{
		{
			ID:        "busy",
			Decode:    "decode-1",
			Prompt:    1000,
			Expected:  5000,
			Generated: 500,
		},
		{
			ID:        "other",
			Decode:    "decode-2",
			Prompt:    1000,
			Expected:  5000,
			Generated: 500,
		},
	})
	req := requestOf("w", now)
	req.MaxEventGap = 200 * time.Millisecond
	f.Enqueue(now, req)
	for _, d := range f.Step(now) {
		if !d.Refused {
			t.Fatalf("a decode engine with streams prefills a prompt: %+v", d)
		}
	}
}

// After an outage of all hosts, requests have waited longer than their targets. Guards against
// refusing them while engines are still being announced.
func TestLateRequestsWaitDuringDiscovery(t *testing.T) {
	f := New()
	now := simStart
	list := engines()
	f.SetEngines(list[:2])
	for i := range 8 {
		req := requestOf(StreamID(rune('a'+i)), now)
		req.Arrived = now.Add(-1200 * time.Millisecond)
		f.Enqueue(now, req)
	}
	for _, d := range f.Step(now) {
		if d.Refused {
			t.Fatalf("request refused during discovery: %+v", d)
		}
	}
}

// Guards against letting requests wait in a zone without decode engines, where another zone could
// serve them.
func TestZoneWithoutDecodeEnginesRefusesAtOnce(t *testing.T) {
	f := New()
	now := simStart
	f.SetEngines(engines()[:1])
	f.Step(now)
	now = now.Add(2 * discoveryTime)
	f.Enqueue(now, requestOf("a", now))
	if d := f.Step(now); len(d) != 1 || !d[0].Refused {
		t.Fatalf("want an immediate refusal: %+v", d)
	}
}
