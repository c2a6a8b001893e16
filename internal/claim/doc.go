// Package claim implements the durable at-most-once record of non-idempotent requests. A Keeper on each voter records
// which claim holds a request ID. A Client in each entry process claims the ID at all voters before the first byte of
// the request is sent. The request is sent only after a majority of the voters recorded the claim.
//
// Each attempt to send a request makes one claim with a random token. Each voter has a floor, the lowest time in an ID
// that it accepts, which follows the clock minus the retention. Each membership of the voters has an epoch.
//
// At most one attempt sends the request, for these reasons:
//
//   - An attempt counts votes of one epoch only. A voter votes for a token only if it holds no other token for the ID,
//     and responds after a sync. It keeps the token until the owner releases it or the ID is below the floor, and it
//     rejects IDs below the floor.
//   - Two winners of the same epoch would share a voter that voted for both. One of them must have released its claim
//     first, and an owner does so only if it has sent nothing and will send nothing.
//   - Across epochs, any majority that promised the new epoch shares a voter with the majority that voted in the old
//     one. The promise precedes the copy, so the copy contains the claim. The floor is copied too and covers claims
//     that the sender has dropped. A voter with copied claims may hold several tokens for one ID; it votes for none of
//     them until the others are released.
//
// Failures:
//
//   - Concurrent attempts that split the votes: none has a majority, so none sends. Each attempt that saw another one
//     reports Duplicate, so that the client is told that the outcome is unknown, and releases its votes. If an odd
//     number of voters all respond to two attempts, one of the attempts always has a majority.
//   - An attempt that times out is final: it reads no late votes, and its token is never used again. A late claim can
//     block the ID on a voter, but cannot make the attempt send. A voter that receives the release first rejects the
//     claim that follows.
//   - A crash of the entry process between claim, send and response leaves the claim recorded. Later attempts are
//     duplicates until the ID is below the floor. A crash of a voter before the sync loses a claim that it has not
//     acknowledged; after the sync the claim is in the journal.
//   - A lost disk: the voter returns with a new identity and copies the claims from a majority of the previous voters.
//     After the transfer its claims count again, so the loss of another disk is tolerated like the first one. A keeper
//     does not start if its journal is missing or belongs to another identity.
//   - An epoch change during a claim: voters that promised the new epoch reject the old one, and votes of two epochs
//     are never added up. The attempt wins with the votes of its own epoch or ends as NotClaimed.
//   - A clock that jumps back does not move the floor. The voter rejects new IDs as too far ahead until its clock is
//     less than a minute behind. A clock that jumps ahead raises the floor at most twice as fast as time passes, so the
//     voter rejects new IDs only if the jump lasts as long as the retention. Correctness does not depend on the clocks.
//   - A full disk, or any other failed write or sync, stops the keeper until the process restarts, because the state on
//     disk is unknown. The other voters continue as long as they are a majority.
package claim
