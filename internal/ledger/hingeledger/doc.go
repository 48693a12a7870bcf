// Package hingeledger records idempotency keys, so that a request that must not
// be repeated runs at most once, whichever entry host of whichever zone a
// resend reaches.
//
//  1. A key is claimed before its request is sent to a backend server, and only
//     the holder of the claim sends the request. A claim names the request id,
//     and claiming again under the same id returns the same grant, so a claim
//     whose reply was lost can be repeated. A request id is sent at most once,
//     before the claim's Until.
//  2. A claim is either finished, with the answer, or released, with proof that
//     the request was not run. A released key may be claimed under another
//     request id. Under the same id it is refused, so a delayed copy of a claim
//     has no effect.
//  3. A claim that is neither finished nor released may have run once its
//     Until has passed or the claiming host instance has ended: the key is not
//     granted again. A claim by a newer instance of a host ends the host's older
//     instances.
//  4. A key whose request differs from the first one's is refused, because it
//     names another request.
//  5. Entries are kept for the retention of their claim, counted from their
//     last change, and at least until Until. A full ledger refuses new claims
//     as not run. It never evicts an unexpired entry, because a forgotten key
//     is a request that can run twice.
//  6. A command contains all inputs of its decision, including the time, which
//     the host that accepts the command sets. The state's time never goes back.
//     So all replicas reach the same state.
//  7. A free key, which the caller chose, is claimed in the quorum's replicated
//     State. Without a quorum the claim is refused at once as not run.
//  8. An issued key names a zone and the incarnation of that zone's key owner.
//     Only the key owner claims it, with one synced write to its own disk, so an
//     isolated zone continues to serve its own issued keys. The text of a key
//     alone determines where it is claimed, whatever changes in the inventory.
//  9. A key owner that lost its disk, or another host that replaces it, has
//     another incarnation. It doesn't know the earlier claims and reports keys
//     of any other incarnation as uncertain.
//  10. The verdict "not run" is about one attempt: nothing was sent for it. To
//     learn the outcome of an earlier attempt, the caller resends with the
//     same key.
package hingeledger
