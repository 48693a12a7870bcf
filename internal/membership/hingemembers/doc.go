// Package hingemembers implements gossip membership of entry hosts and forwards the
// announcements of backend servers between them. State is the pure part: it maps
// messages and the present time to messages. Members runs it.
//
// An instance is one run of a host, identified by host and incarnation. The registry
// is the list of instances in the configuration log.
//
//  1. Knowledge consists of facts, one for each host and server. A fact is joined
//     with another, never overwritten: hosts that received the same facts have the
//     same state, whatever the order, number and delay of the messages.
//  2. Of two facts of a host the newer incarnation wins. Within one incarnation, a
//     higher version wins; leaving and ended are final.
//  3. Each round a host probes others, and each probe is acknowledged. While there
//     are few hosts, every one is probed each round; otherwise a few are, in an
//     order that is shuffled again after each pass, so that every host is reached.
//  4. A host that doesn't answer probes for longer than its usual intervals is
//     probed through three others. If it doesn't answer those either, it is
//     suspect. Any datagram from it is evidence that it is alive: a slow host
//     widens its intervals and is not suspect, and a path that is cut in one
//     direction doesn't count as a failure.
//  5. A host that receives a suspicion of itself refutes it with a higher version.
//  6. Suspicion alone ends no instance: the hosts of a zone that is cut off may be
//     alive. An instance has ended once it said so when it left, once a newer
//     incarnation of its host is seen, or once the registry has it as ended.
//  7. An acknowledgement renews the prober's instance lease, counted from the
//     sending of the probe. A host holds a valid lease, and only then may use its
//     shares of decode slots, while a majority of the voters or all other hosts of
//     its zone have renewed it and its instance is in the registry.
//  8. A host of the same zone that received nothing for longer than the suspicion
//     time and the lease casts a failure vote: a promise never to renew that
//     instance's lease again. A voter that received nothing either casts one only
//     after such a vote from the zone. A vote is never withdrawn. With the votes of
//     a majority of voters and of one host of the zone the instance has expired: it
//     holds no valid lease, and the leader of the configuration log may record it
//     as ended.
//  9. A host whose own instance is not in the registry renews no lease: a voter that
//     restarted has lost its votes, and by then either the registry has the
//     instance that it voted against as ended, or the vote no longer counts.
//  10. Facts are piggybacked on probes and acknowledgements, each a bounded number of
//     times, and the size of a datagram is bounded, so that a member's traffic is.
//     Urgent facts are also sent at once. While there are few hosts, a server's
//     heartbeat goes to each of them once, and a datagram takes the heartbeats first
//     for which its recipient has waited the longest, so that no server is last
//     every time.
//  11. Every datagram carries a digest of the sender's lasting facts. Two hosts whose
//     digests keep differing exchange whole tables, and a host that starts does so
//     with any other host.
package hingemembers
