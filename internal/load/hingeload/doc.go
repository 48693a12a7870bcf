// Package hingeload is an open-loop load generator for entry hosts that
// verifies every answer.
//
//  1. Open loop: the arrival schedule is generated from a seed before the run,
//     and each request is sent at its scheduled time, independent of the others.
//     Latency is measured from the scheduled time, so that delays of the router
//     and of the load generator both count.
//  2. Arrivals are a Poisson process in each phase; a burst is a phase with a
//     higher rate.
//  3. Attempts go to the hosts in round-robin order, as from a load balancer,
//     and fail over to the next host if the connection can't be opened.
//     Connections aren't reused, because net/http silently resends a request
//     when a reused connection is found closed.
//  4. A caller whose request was refused before it ran retries after Retry-After,
//     or immediately. A caller whose answer was cut off resends the request
//     under the same idempotency key, if it has one. The number of attempts and
//     the time are bounded.
//  5. The answers of the stand-ins are deterministic, so every answer is
//     classified as complete, truncated, duplicated, or misdelivered.
//  6. Wasted prefill and the runs of each key are read from the stand-ins'
//     counters.
//
// The load generator is one process, and its processor time adds to the
// measured latency; the report includes the delay between scheduled and actual
// send times.
package hingeload
