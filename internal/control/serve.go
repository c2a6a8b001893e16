package control

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"github.com/hibiscusroute/hibiscusroute/internal/control/controlpb"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/member"
	"github.com/hibiscusroute/hibiscusroute/internal/peer"
	"github.com/hibiscusroute/hibiscusroute/internal/quota"
	"github.com/hibiscusroute/hibiscusroute/internal/raft"
	"github.com/hibiscusroute/hibiscusroute/internal/raft/raftpb"
	"github.com/hibiscusroute/hibiscusroute/internal/timeline"
)

// Stream kinds that a voter serves.
const (
	ProposeKind = "propose"
	BatchKind   = "propose-batch"
	ForwardKind = "forward"
	QueryKind   = "query"
	RenewKind   = "renew"
	FollowKind  = "follow"
	JoinKind    = "join"
	RemoveKind  = "remove"
	StatusKind  = "status"
)

// manyCalls is the number of calls per second from which on other processes are asked to send them in batches.
const manyCalls = 300

// chunkSize is the maximum number of snapshot bytes in a frame.
const chunkSize = 64 << 10

func (v *Voter) registerHandlers() {
	t := v.cfg.Transport
	t.Handle(raftKind, v.serveRaft)
	t.Handle(FollowKind, v.serveFollow)
	t.Handle(ProposeKind, peer.UnaryHandler(t, v.servePropose))
	t.Handle(BatchKind, peer.UnaryHandler(t, v.serveProposeBatch))
	t.Handle(QueryKind, peer.UnaryHandler(t, v.serveQuery))
	t.Handle(RenewKind, peer.UnaryHandler(t, v.serveRenew))
	t.Handle(JoinKind, peer.UnaryHandler(t, v.serveJoin))
	t.Handle(RemoveKind, peer.UnaryHandler(t, v.serveRemove))
	t.Handle(StatusKind, peer.UnaryHandler(t, v.serveStatus))
}

func (v *Voter) serveRaft(ctx context.Context, _ string, s *peer.Stream) error {
	for {
		m := &raftpb.Message{}
		if err := s.Receive(m); err != nil {
			return err
		}
		v.sender.recordAddress(m.From, m.Address)
		err := v.post(ctx, func() {
			v.heardAt[m.From] = v.now()
			if err := v.core.Step(m); err != nil {
				v.cfg.Log.Info("rejected a message from a member", "from", m.From, "reason", err.Error())
			}
		})
		if err != nil {
			return err
		}
	}
}

// redirect returns the address of the leader, for requests that only the leader can answer.
func (v *Voter) redirect() *controlpb.Redirect {
	st := v.core.Status()
	for _, m := range st.Members {
		if m.Member.Id == st.Leader && st.Leader != st.ID {
			return &controlpb.Redirect{Leader: m.Member.Address}
		}
	}
	return &controlpb.Redirect{}
}

// runInLoop runs f in the control loop and waits until f or a callback of it has called answer. It doesn't run f once ctx is
// done: the caller may have sent the request again, and a loop that worked off both would never catch up.
func runInLoop[T proto.Message](ctx context.Context, v *Voter, f func(answer func(T, error))) (T, error) {
	type outcome struct {
		m   T
		err error
	}
	ch := make(chan outcome, 1)
	var zero T
	var taken atomic.Bool
	err := v.post(ctx, func() {
		if ctx.Err() == nil {
			taken.Store(true)
			f(func(m T, err error) { ch <- outcome{m, err} })
		}
	})
	if err != nil {
		return zero, err
	}
	select {
	case o := <-ch:
		return o.m, o.err
	case <-v.done:
		if !taken.Load() {
			return zero, peer.ErrUnreachable.New("the voter has stopped before it took the call")
		}
		return zero, peer.ErrInterrupted.New("the voter has stopped")
	case <-ctx.Done():
		return zero, peer.ErrInterrupted.Wrap(ctx.Err(), "no answer of the control loop")
	}
}

func (v *Voter) servePropose(ctx context.Context, _ string, req *controlpb.ProposeRequest) (proto.Message, error) {
	return runInLoop(ctx, v, func(answer func(proto.Message, error)) {
		redirect := func() {
			answer(&controlpb.ProposeResponse{Redirect: v.redirect(), Term: v.core.Term()}, nil)
		}
		if !v.leading {
			redirect()
			return
		}
		if req.MaxTerm > 0 && v.leadTerm > req.MaxTerm {
			answer(&controlpb.ProposeResponse{LaterTerm: true, Term: v.leadTerm}, nil)
			return
		}
		v.calls.Add(v.now(), 1)
		term := v.leadTerm
		reply := func(r kernel.Result, err error, confirmed bool) {
			if err != nil {
				answer(nil, err)
				return
			}
			resp := EncodeResult(r)
			resp.Term, resp.Confirmed = term, confirmed
			resp.Group, resp.Voters, resp.Busy = v.voters.Group(), v.memberAddresses(), v.isBusy()
			answer(resp, nil)
		}
		if req.Command == nil {
			answer(nil, kernel.ErrInvalid.New("empty proposal"))
			return
		}
		c := CommandFromProto(req.Command)
		v.respond(c, newProposalKey(c, req.Idempotent), reply, redirect)
	})
}

// isBusy reports whether this leader has many calls.
func (v *Voter) isBusy() bool { return v.calls.PerSecond() >= manyCalls }

// EncodeResult returns the response that tells the result of a command.
func EncodeResult(r kernel.Result) *controlpb.ProposeResponse {
	resp := &controlpb.ProposeResponse{Index: r.Index, Body: r.Body}
	if r.Err != nil {
		resp.ErrorKind, resp.Error = kernel.EncodeError(r.Err)
	}
	return resp
}

// batchWait is how long the responses to a batch wait for commands that have no result yet, if the caller sends these again.
// Otherwise what needs no entry of the log, as most heartbeats, would wait for the disks beside a command that does.
const batchWait = 200 * time.Millisecond

// serveProposeBatch answers once each command of the batch has been answered, or after batchWait. If the leadership is lost
// meanwhile, the outcome of all of them is unknown.
func (v *Voter) serveProposeBatch(
	ctx context.Context, _ string, req *controlpb.ProposeBatchRequest,
) (proto.Message, error) {
	return runInLoop(ctx, v, func(answer func(proto.Message, error)) {
		if !v.leading {
			answer(&controlpb.ProposeBatchResponse{Redirect: v.redirect(), Term: v.core.Term()}, nil)
			return
		}
		v.calls.Add(v.now(), len(req.Commands))
		resp := &controlpb.ProposeBatchResponse{
			Group: v.voters.Group(), Busy: v.isBusy(), Term: v.leadTerm, Responses: make([]*controlpb.ProposeResponse, len(req.Commands)),
		}
		left := len(req.Commands)
		answered := false
		stopTimer := func() bool { return false }
		var failure error
		answerBatch := func() {
			answered = true
			stopTimer()
			if failure != nil {
				answer(nil, failure)
				return
			}
			answer(resp, nil)
		}
		finish := func(i int, r *controlpb.ProposeResponse, err error) {
			if answered {
				return
			}
			resp.Responses[i] = r
			if failure == nil {
				failure = err
			}
			if left--; left == 0 {
				answerBatch()
			}
		}
		if left == 0 {
			answerBatch()
		}
		for i, m := range req.Commands {
			if m == nil {
				finish(i, EncodeResult(kernel.Result{Err: kernel.ErrInvalid.New("empty proposal")}), nil)
				continue
			}
			if i < len(req.MaxTerms) && req.MaxTerms[i] > 0 && v.leadTerm > req.MaxTerms[i] {
				finish(i, &controlpb.ProposeResponse{LaterTerm: true, Term: v.leadTerm}, nil)
				continue
			}
			c := CommandFromProto(m)
			v.respond(c, newProposalKey(c, true), func(r kernel.Result, err error, _ bool) {
				if errorx.IsOfType(err, kernel.ErrInvalid) {
					r, err = kernel.Result{Err: err}, nil
				}
				finish(i, EncodeResult(r), err)
			}, func() {
				finish(i, nil, peer.ErrInterrupted.New("leadership was lost before a command of the batch was committed"))
			})
		}
		if answered || !req.AcceptsPending {
			return
		}
		stopTimer = v.after(ctx, batchWait, func() {
			if answered {
				return
			}
			for i, r := range resp.Responses {
				if r == nil {
					resp.Responses[i] = &controlpb.ProposeResponse{Pending: true}
				}
			}
			answerBatch()
		})
	})
}

// after runs f in the control loop once d has passed, unless ctx ends or stop is called first.
func (v *Voter) after(ctx context.Context, d time.Duration, f func()) (stop func() bool) {
	t := time.AfterFunc(d, func() {
		if err := v.post(ctx, f); err != nil {
			v.cfg.Log.V(1).Info("control loop did not take a function in time", "reason", err.Error())
		}
	})
	return t.Stop
}

// respond answers a command at once, after a quorum read or after replication, as the plug-in of the command decides. Calls
// with the same key may share an entry. It calls notLeading instead of reply if this voter is not the leader, or not of the same
// term any more. The result is confirmed if it follows from a state with all entries of earlier terms that will ever be
// committed.
func (v *Voter) respond(
	c kernel.Command, key *proposalKey, reply func(r kernel.Result, err error, confirmed bool), notLeading func(),
) {
	term := v.leadTerm
	committed := func(r kernel.Result, err error) { reply(r, err, true) }
	replicate := func() {
		if v.core.Term() != term {
			notLeading()
			return
		}
		switch err := v.propose(c, key, committed); {
		case err == nil:
		case errorx.IsOfType(err, kernel.ErrInvalid):
			reply(kernel.Result{}, err, false)
		case errorx.IsOfType(err, raft.ErrFull) && key != nil && key.id == "":
			// With an ID, the caller would take the result for that of its earlier attempts, too.
			reply(kernel.Result{Err: kernel.ErrBusy.Wrap(err, "the leader has too much to commit")}, nil, false)
		default:
			notLeading()
		}
		v.decisionDue = true
	}
	if v.proposals.find(key, v.core.Term()) == nil {
		switch body, how := v.kernel.Respond(v.now(), c); how {
		case kernel.Immediate:
			reply(kernel.Result{Index: v.kernel.Applied(), Body: body}, nil, false)
			return
		case kernel.Replicate:
			replicate()
			return
		}
	}
	v.quorumRead(func(r raft.ReadResult) {
		if r.Failed {
			notLeading()
			return
		}
		if v.share(key, committed) {
			return
		}
		// The state may have changed during the read.
		body, how := v.kernel.Respond(v.now(), c)
		if how == kernel.Replicate {
			replicate()
			return
		}
		reply(kernel.Result{Index: v.kernel.Applied(), Body: body}, nil, true)
	})
}

func (v *Voter) serveQuery(ctx context.Context, _ string, req *controlpb.QueryRequest) (proto.Message, error) {
	return runInLoop(ctx, v, func(answer func(proto.Message, error)) {
		if !v.leading {
			answer(&controlpb.QueryResponse{Redirect: v.redirect()}, nil)
			return
		}
		v.quorumRead(func(r raft.ReadResult) {
			if r.Failed {
				answer(&controlpb.QueryResponse{Redirect: v.redirect()}, nil)
				return
			}
			body, err := v.kernel.Query(req.Plugin, req.Request)
			answer(&controlpb.QueryResponse{Body: body, Group: v.voters.Group()}, err)
		})
	})
}

// serveRenew answers after a quorum round, so that a deposed leader renews no lease. All renewals of one tick share a
// round; otherwise the number of heartbeats would grow with the number of processes.
func (v *Voter) serveRenew(ctx context.Context, _ string, req *controlpb.RenewRequest) (proto.Message, error) {
	return runInLoop(ctx, v, func(answer func(proto.Message, error)) {
		if !v.leading {
			answer(&controlpb.RenewResponse{Redirect: v.redirect()}, nil)
			return
		}
		if !v.members.Renewable(req.Id) {
			answer(&controlpb.RenewResponse{Rejoin: true, Group: v.voters.Group()}, nil)
			return
		}
		now := v.now()
		v.kernel.Observe(now, member.Renewal{ID: req.Id})
		if len(req.Demands)+len(req.Returned) > 0 {
			v.kernel.Observe(now, quota.Report{Holder: req.Id, Demands: req.Demands, Returned: req.Returned})
			v.decisionDue = true
		}
		v.lastRenewals[req.Id] = lastRenewal{version: req.Version, applied: req.Applied, at: now}
		v.rollouts.recordApplied(req.Id, req.Applied)
		v.completeRollouts()
		v.waitingRenewals = append(v.waitingRenewals, func(r raft.ReadResult) {
			if r.Failed {
				answer(&controlpb.RenewResponse{Redirect: v.redirect()}, nil)
				return
			}
			resp := &controlpb.RenewResponse{
				Commit: r.Index, Term: v.leadTerm, Recalls: v.quotas.Recalls(req.Id), Group: v.voters.Group(),
				Voters: v.memberAddresses(),
			}
			answer(resp, nil)
		})
	})
}

// completeRollouts logs and records the configuration versions that have come into force.
func (v *Voter) completeRollouts() {
	for _, ro := range v.rollouts.complete(v.now(), v.members.Live) {
		v.cfg.Log.Info("configuration is in force", "version", ro.version, "after", (ro.inForceAt - ro.acceptedAt).String())
		v.cfg.Record(timeline.Event{
			Kind: "configuration-in-force", Version: ro.version,
			Text: "on each process, " + (ro.inForceAt - ro.acceptedAt).Round(time.Millisecond).String() +
				" after it was accepted",
		})
	}
}

func (v *Voter) serveStatus(ctx context.Context, _ string, _ *controlpb.StatusRequest) (proto.Message, error) {
	return v.Status(ctx)
}

// Status returns the state of this voter. What it reports about other processes is valid only while this voter leads.
func (v *Voter) Status(ctx context.Context) (*controlpb.StatusResponse, error) {
	return runInLoop(ctx, v, func(answer func(*controlpb.StatusResponse, error)) {
		v.completeRollouts()
		st := v.core.Status()
		resp := &controlpb.StatusResponse{
			Name: v.cfg.Name, Identity: st.ID, Role: st.Role.String(), Term: st.Term, Leader: st.Leader,
			Commit: st.CommitIndex, Applied: st.LastApplied, Halted: map[string]string{},
			Rollouts: v.rollouts.encode(func(d time.Duration) int64 { return v.startedAt.Add(d).UnixNano() }),
		}
		for _, m := range st.Members {
			resp.Voters = append(resp.Voters, &controlpb.VoterStatus{
				Member: m.Member, Match: m.MatchIndex, CaughtUp: m.CaughtUp,
			})
		}
		for plugin, err := range v.kernel.Halted() {
			resp.Halted[plugin] = err.Error()
		}
		if v.leading {
			resp.Processes = v.processes()
		}
		answer(resp, nil)
	})
}

// processes returns the status of the member processes and drops the renewals of processes that are no longer members.
func (v *Voter) processes() []*controlpb.ProcessStatus {
	var list []*controlpb.ProcessStatus
	current := map[string]lastRenewal{}
	for _, m := range v.members.Members() {
		p := &controlpb.ProcessStatus{Id: m.Id, AvailabilityZone: m.AvailabilityZone, Renewed: -1, Expired: m.Expired}
		if r, ok := v.lastRenewals[m.Id]; ok {
			current[m.Id] = r
			p.Version, p.Applied, p.Renewed = r.version, r.applied, int64(v.now()-r.at)
		}
		list = append(list, p)
	}
	v.lastRenewals = current
	return list
}

// serveFollow streams the view to a process: first a snapshot, unless the feed has all updates that the process lacks,
// then each update.
func (v *Voter) serveFollow(ctx context.Context, _ string, s *peer.Stream) error {
	req := &controlpb.FollowRequest{}
	if err := s.Receive(req); err != nil {
		return err
	}
	applied := req.Applied
	for {
		updates, changed, ok := v.feed.after(applied)
		if !ok || applied == 0 {
			var err error
			if applied, err = v.sendSnapshot(ctx, s, req, applied); err != nil {
				return err
			}
			continue
		}
		for _, u := range updates {
			if err := s.Send(&controlpb.FollowFrame{Update: u}); err != nil {
				return err
			}
			applied = u.Index
		}
		if len(updates) > 0 {
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		case <-v.done:
			return nil
		}
	}
}

// sendSnapshot sends a snapshot of the view plug-ins in chunks and returns its index.
func (v *Voter) sendSnapshot(
	ctx context.Context, s *peer.Stream, req *controlpb.FollowRequest, applied uint64,
) (uint64, error) {
	type snapshot struct {
		group string
		index uint64
		data  []byte
		err   error
	}
	ch := make(chan snapshot, 1)
	err := v.post(ctx, func() {
		data, err := v.kernel.Snapshot(true)
		ch <- snapshot{v.voters.Group(), v.kernel.Applied(), data, err}
	})
	if err != nil {
		return 0, err
	}
	select {
	case sn := <-ch:
		if sn.err != nil {
			return 0, sn.err
		}
		if sn.index < applied || sn.index == 0 || req.Group != "" && req.Group != sn.group {
			// This voter is behind the process or belongs to another group, so the process must try another voter.
			return 0, s.Send(&controlpb.FollowFrame{Redirect: &controlpb.Redirect{}})
		}
		for chunk := range slices.Chunk(sn.data, chunkSize) {
			if err := s.Send(&controlpb.FollowFrame{Chunk: chunk, Size: uint64(len(sn.data))}); err != nil {
				return 0, err
			}
		}
		return sn.index, nil
	case <-v.done:
		return 0, peer.ErrInterrupted.New("the voter has stopped")
	}
}
