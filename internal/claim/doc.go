// Package claim is the durable at-most-once record for non-idempotent requests. A Keeper on each voter records which
// attempt holds a request ID; a Client in each entry process claims the ID at all voters before the first byte of the
// request is sent, and sends only after a majority recorded its claim.
//
// The argument for at most one sender: each attempt has a token of its own and votes in one epoch. A voter votes for a
// token only while it holds no other one for the ID, after a sync, and keeps the token until its owner releases it or
// the ID lies below the floor, from where on it refuses the ID. Two winners of one epoch would share a voter that voted
// for both, so one of them had released first, which an owner does only when it has sent nothing and sends nothing any
// more. Across epochs a majority that promised the new epoch shares a voter with the majority that voted before; the
// promise comes before the copy, so the copy contains the claim, and the floor that comes with it covers claims that
// the sender dropped. A voter with copies may hold several tokens for one ID; it votes for none of them until the others
// are released.
//
// Failures:
//
//   - Concurrent attempts with a split vote: none has a majority, so none is sent. Each that saw the other reports
//     Duplicate, whose answer is outcome unknown, and releases its votes. With all of an odd number of voters answering
//     and two attempts, one always has a majority.
//   - An attempt that times out decides once and for good: a late vote is not read, and its token is never used again.
//     A late claim can block the ID on a voter, but cannot make the attempt send. A voter that sees the release first
//     refuses the claim behind it.
//   - A crash of the entry process between claim, send and answer leaves the claim recorded: later attempts are
//     duplicates until the ID is below the floor. A crash of a voter before the sync loses a claim that it never
//     answered; after the sync the journal has it.
//   - A lost disk: the voter returns under a new identity and is served by a transfer from a majority of the previous
//     voters. Its claims count again after the transfer, so the next loss is covered as the first one was. A keeper
//     refuses to start when its journal is missing or belongs to another identity.
//   - An epoch change in the middle of a claim: voters that promised the new epoch refuse the old one, and votes of two
//     epochs are never added up. The attempt wins with the votes of its own epoch or ends as NotClaimed.
//   - A clock that jumps back leaves the floor where it is; the voter refuses new IDs as too far ahead until the clock is
//     back within a minute. A clock that jumps ahead raises the floor at most twice as fast as time passes, so the voter
//     refuses new IDs only after a jump that lasts as long as the retention. Correctness depends on neither.
//   - A full disk or any failed write or sync stops the keeper until the process restarts, because the state on disk is
//     then unknown. The other voters go on while they are a majority.
package claim
