package hingequeue

import (
	"fmt"
	"math/rand/v2"
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

// refusingService is a service of three replicas, one of which refuses hosts that then leave it alone for backoff.
type refusingService struct {
	hosts int
	// refuses reports whether the replica refuses a host.
	refuses func(host int) bool
	// arrivals and refused count its requests.
	arrivals int
	refused  int
}

const backoff = 3 * time.Second

func (s *refusingService) run(rate int, length time.Duration) {
	const tick = 5 * time.Millisecond
	q := New(1)
	q.SetReplicas([]hingebalance.Replica{
		{
			Server: "app-0",
			Slots:  6,
		},
		{
			Server: "app-1",
			Slots:  6,
		},
		{
			Server: "app-2",
			Slots:  6,
		},
	})
	random := rand.New(rand.NewPCG(1, 2))
	completions := make(map[time.Time][]Completion)
	hostOf := make(map[CallID]int)
	until := make(map[int]time.Time)
	start := time.Unix(1000, 0)
	sequence := 0
	for now := start; now.Before(start.Add(length)); now = now.Add(tick) {
		for _, c := range completions[now] {
			if c.Outcome == hingebalance.HostRefused {
				until[hostOf[c.ID]] = now.Add(backoff)
			}
			q.RecordCompletion(now, c)
		}
		for ; sequence < int(float64(rate)*now.Sub(start).Seconds()); sequence++ {
			id, host := CallID(fmt.Sprint(sequence)), random.IntN(s.hosts)
			hostOf[id] = host
			r := CallRequest{
				ID:           id,
				SoftDeadline: now.Add(150 * time.Millisecond),
				Deadline:     now.Add(time.Second),
			}
			if now.Before(until[host]) {
				r.Avoid = []hingeids.ServerID{"app-0"}
			}
			q.Enqueue(now, r)
		}
		for _, d := range q.Step(now) {
			if d.Refused {
				continue
			}
			c := Completion{
				ID:      d.ID,
				Server:  d.Server,
				Outcome: hingebalance.Answered,
				Elapsed: 20 * time.Millisecond,
			}
			if d.Server == "app-0" {
				s.arrivals++
				if s.refuses != nil && now.After(start.Add(time.Second)) && s.refuses(hostOf[d.ID]) {
					s.refused++
					c.Outcome = hingebalance.HostRefused
					c.Elapsed = tick
				}
			}
			completions[now.Add(c.Elapsed)] = append(completions[now.Add(c.Elapsed)], c)
		}
	}
}

// Guards against hundreds of hosts that find out one by one, again and again, that a replica refuses all of them.
func TestReplicaThatRefusesAllHostsIsTriedSeldom(t *testing.T) {
	const length = 31 * time.Second
	for _, hosts := range []int{6, 74, 300, 985} {
		s := refusingService{
			hosts: hosts,
			refuses: func(int) bool {
				return true
			},
		}
		s.run(500, length)
		if s.refused == 0 || s.refused > 60 {
			t.Errorf("%d hosts: %d requests refused in 30 s, want at most two a second", hosts, s.refused)
		}
	}
}

// Guards against hosts that lose a replica because it refuses other hosts.
func TestReplicaThatRefusesSomeHostsIsUsedByTheOthers(t *testing.T) {
	const length = 31 * time.Second
	for _, hosts := range []int{6, 74, 300, 985} {
		usual := refusingService{
			hosts: hosts,
		}
		usual.run(500, length)
		s := refusingService{
			hosts: hosts,
			refuses: func(host int) bool {
				return host%3 == 0
			},
		}
		s.run(500, length)
		share := float64(s.arrivals-s.refused) / float64(usual.arrivals)
		t.Logf("%d hosts: %d refused, %.2f of the usual answered", hosts, s.refused, share)
		if share < 0.6 {
			t.Errorf("%d hosts: it answers %.2f of its usual requests, while it refuses a third of the hosts", hosts, share)
		}
	}
}

// Guards against a limit that is raised by what a host knew long ago, when it reports a request that it hasn't sent.
func TestWithheldRequestEasesNothing(t *testing.T) {
	q := New(1)
	now := time.Unix(1000, 0)
	q.SetReplicas([]hingebalance.Replica{
		{
			Server: "app-0",
		},
	})
	q.RecordNotice(now, "app-0", hingenotice.Notice{
		RateLimit: 0.5,
	})
	now = now.Add(time.Second)
	q.RecordCompletion(now, Completion{
		ID:      "withheld",
		Server:  "app-0",
		Outcome: hingebalance.Unknown,
		Notice: hingenotice.Notice{
			RateLimit: 100,
		},
	})
	placed := 0
	for i := range 10 {
		q.Enqueue(now, CallRequest{
			ID:       CallID(fmt.Sprint(i)),
			Deadline: now.Add(10 * time.Second),
		})
	}
	for range 40 {
		now = now.Add(25 * time.Millisecond)
		for _, d := range q.Step(now) {
			if !d.Refused {
				placed++
			}
		}
	}
	if placed > 1 {
		t.Errorf("%d requests in a second at a limit of one in two seconds", placed)
	}
}
