package hingequeue

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingebalance"
	"github.com/swifthinge/swifthinge/internal/decide/hingenotice"
)

// limitedService is a service under a steady load, whose replicas answer within 20 ms and name limits.
type limitedService struct {
	queue  *Queue
	limits map[hingeids.ServerID]hingeids.RequestsPerSecond
	// sent holds when each replica got its requests; refused the times that refused requests were told to wait, and
	// waited how long they had waited by then.
	sent    map[hingeids.ServerID][]time.Time
	refused []time.Duration
	waited  []time.Duration
}

func newLimitedService(replicas int, limits map[hingeids.ServerID]hingeids.RequestsPerSecond) *limitedService {
	var list []hingebalance.Replica
	for i := range replicas {
		list = append(list, hingebalance.Replica{
			Server: hingeids.ServerID(fmt.Sprint("app-", i)),
			Slots:  1,
		})
	}
	s := &limitedService{
		queue:  New(1),
		limits: limits,
		sent:   make(map[hingeids.ServerID][]time.Time),
	}
	s.queue.SetReplicas(list)
	return s
}

// run sends requests at a rate per second for a time.
func (s *limitedService) run(rate int, length time.Duration) {
	const tick = 5 * time.Millisecond
	completions := make(map[time.Time][]Completion)
	arrived := make(map[CallID]time.Time)
	start := time.Unix(1000, 0)
	sequence := 0
	for now := start; now.Before(start.Add(length)); now = now.Add(tick) {
		for _, c := range completions[now] {
			s.queue.RecordCompletion(now, c)
		}
		for ; sequence < int(float64(rate)*now.Sub(start).Seconds()); sequence++ {
			id := CallID(fmt.Sprint(sequence))
			arrived[id] = now
			s.queue.Enqueue(now, CallRequest{
				ID:           id,
				SoftDeadline: now.Add(150 * time.Millisecond),
				Deadline:     now.Add(time.Second),
			})
		}
		for _, d := range s.queue.Step(now) {
			if d.Refused {
				s.refused = append(s.refused, d.RetryAfter)
				s.waited = append(s.waited, now.Sub(arrived[d.ID]))
				continue
			}
			s.sent[d.Server] = append(s.sent[d.Server], now)
			done := now.Add(20 * time.Millisecond)
			completions[done] = append(completions[done], Completion{
				ID:      d.ID,
				Server:  d.Server,
				Outcome: hingebalance.Answered,
				Elapsed: 20 * time.Millisecond,
				Notice: hingenotice.Notice{
					RateLimit: s.limits[d.Server],
				},
			})
		}
	}
}

// mostIn returns the largest number of times within a window.
func mostIn(times []time.Time, window time.Duration) int {
	most, from := 0, 0
	for i, t := range times {
		for t.Sub(times[from]) >= window {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// Guards against a replica that gets more than the limit that it names, or so little that it idles beside a queue, at
// any number of replicas and with a limit on all of them.
func TestLimitedReplicaGetsItsLimit(t *testing.T) {
	const length, window = 40 * time.Second, 4 * time.Second
	for _, replicas := range []int{3, 50, 580} {
		for _, limit := range []hingeids.RequestsPerSecond{1, 6.7, 40} {
			limits := map[hingeids.ServerID]hingeids.RequestsPerSecond{}
			rate := 60 * replicas
			if replicas == 3 {
				for i := range replicas {
					limits[hingeids.ServerID(fmt.Sprint("app-", i))] = limit
				}
				rate = int(4 * float64(limit) * float64(replicas))
			} else {
				limits["app-0"] = limit
			}
			s := newLimitedService(replicas, limits)
			played := length * 50 / time.Duration(max(replicas, 50))
			s.run(rate, played)
			seconds := played.Seconds()
			for id := range limits {
				times := s.sent[id]
				if n, most := mostIn(times, window), 1.5*float64(limit)*window.Seconds()+5; float64(n) > most {
					t.Errorf("%d replicas, limit %v: %s got %d requests in %v, at most %.0f allowed", replicas, limit, id, n, window, most)
				}
				if used := float64(len(times)) / (float64(limit) * seconds); used < 0.9 && float64(limit)*seconds > 10 {
					t.Errorf("%d replicas, limit %v: %s got %.2f of it", replicas, limit, id, used)
				}
			}
		}
	}
}

// Guards against requests that wait in vain, and against callers that are told to come back before there is room,
// where all replicas name low limits.
func TestRequestsBeyondAllLimitsAreRefusedAtOnce(t *testing.T) {
	s := newLimitedService(2, map[hingeids.ServerID]hingeids.RequestsPerSecond{
		"app-0": 0.25,
		"app-1": 0.25,
	})
	s.run(20, 30*time.Second)
	if len(s.refused) < 500 {
		t.Fatalf("%d of 600 requests refused", len(s.refused))
	}
	// The limits are known after the first answers.
	if longest := slices.Max(s.waited[10:]); longest > 20*time.Millisecond {
		t.Errorf("a request was refused after %v", longest)
	}
	if shortest := slices.Min(s.refused[10:]); shortest < time.Second {
		t.Errorf("Retry-After %v, while a request is due every two seconds", shortest)
	}
}
