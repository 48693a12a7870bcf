// Package hingeslots decides which host may send a request to a decode engine, so
// that an engine never receives more requests than it has slots, even under network
// partitions and when hosts disagree on which hosts are alive. State is the pure
// part; Slots runs it.
//
//  1. An engine's slots are split into pools, one for each entry host of its zone.
//     A pool belongs to the recorded instance of its host. While the record shows
//     that this instance has ended, the pool belongs to its successor: the
//     rendezvous choice among the zone's recorded instances.
//  2. An owner uses its pool only while it holds a valid lease (see hingemembers).
//     An instance that is recorded as ended has no valid lease, so an owner and its
//     successor never use the pool at the same time.
//  3. The allocator of an engine is the rendezvous choice among the zone's hosts
//     that appear alive. It requests from every host of the zone a delegation of the
//     pools that the host owns. Hosts may disagree on the allocator: a pool is
//     delegated to one host at a time.
//  4. A delegation is a lease. Its holder counts it from the sending of the request,
//     the owner from the sending of the answer and extended by the clock margin. It
//     never outlasts the owner's own lease. Repeating the request renews it. A host
//     that is no longer the allocator returns its delegations with their
//     occupancies.
//  5. A pool's occupancy lists the requests that occupy its slots. It is passed on
//     with the delegation. An allocator grants only slots that are free in an
//     occupancy whose delegation it holds.
//  6. A grant carries the time within which the request must start on the engine,
//     counted by the holder from its own request for the slot, and never later than
//     the end of the delegation. After that time and the visibility delay, the
//     engine's list of held requests is authoritative: an entry that is not in the
//     list is free.
//  7. A pool is opened before its owner delegates it: after a start, a succession, or
//     a delegation that expired without being returned. Every possible earlier
//     owner yields the pool, and all delegations and grants that may still exist
//     expire. Then the new occupancy is what the engine holds, less what holders of
//     slots from other pools claim. A request that nobody claims counts against each
//     pool that opens: occupancies may be too large, never too small.
//  8. A release frees a slot at once. If the message is lost, rule 6 frees the slot
//     later.
//  9. Waiting requests are ordered by priority, then by arrival. Their number is
//     bounded; a full queue refuses the request of lowest priority.
package hingeslots
