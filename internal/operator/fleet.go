package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/job"
	"github.com/hibiscusroute/hibiscusroute/internal/job/jobpb"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/maintenance"
	"github.com/hibiscusroute/hibiscusroute/internal/maintenance/maintenancepb"
	"github.com/hibiscusroute/hibiscusroute/internal/pool"
	"github.com/hibiscusroute/hibiscusroute/internal/pool/poolpb"
	"github.com/hibiscusroute/hibiscusroute/internal/quota"
	"github.com/hibiscusroute/hibiscusroute/pkg/fleet"
)

// fleetChange is a change of an instance, a wave or a job.
type fleetChange interface {
	// command returns the command with the given ID, or an Error of KindInvalid.
	command(id string) (kernel.Command, error)
}

// changeRequest is a decoded POST of a fleetChange.
type changeRequest struct {
	operationID string
	change      fleetChange
	// content is hashed into the command ID. It is the change encoded again, so that the formatting of the JSON that the
	// client sent doesn't matter.
	content []byte
}

func decodeChange[T any, P interface {
	*T
	fleetChange
}](_ context.Context, r *http.Request) (any, error) {
	id, err := operationID(r)
	if err != nil {
		return nil, err
	}
	ch := P(new(T))
	if err := decodeJSON(r, ch); err != nil {
		return nil, err
	}
	content, err := json.Marshal(ch)
	if err != nil {
		return nil, err
	}
	return changeRequest{operationID: id, change: ch, content: content}, nil
}

func (s *Server) change(ctx context.Context, request any) (any, error) {
	req, _ := request.(changeRequest)
	c, err := req.change.command(commandID(req.operationID, req.content))
	if err != nil {
		return nil, err
	}
	r, err := s.propose(ctx, req.operationID, c)
	if err != nil {
		return nil, err
	}
	if c.Plugin != job.Name {
		return struct{}{}, nil
	}
	j, err := job.DecodeJob(r.Body)
	if err != nil {
		return nil, err
	}
	return toJob(j), nil
}

func invalidError(path, message string) error {
	return &Error{
		Status: http.StatusUnprocessableEntity, Kind: KindInvalid, Message: "the change has faults",
		Faults: []fleet.Fault{{Path: path, Message: message}},
	}
}

func (ch *InstanceChange) command(id string) (kernel.Command, error) {
	switch {
	case !fleet.ValidName(ch.Instance):
		return kernel.Command{}, invalidError("instance", "must be the name of an instance")
	case ch.Action == MoveInstance && !fleet.ValidName(ch.Pool):
		return kernel.Command{}, invalidError("pool", "must be the name of a pool")
	}
	switch ch.Action {
	case MoveInstance:
		return pool.MoveCommand(id, ch.Instance, ch.Pool)
	case QuarantineInstance, ReleaseInstance:
		return pool.QuarantineCommand(id, ch.Instance, ch.Action == QuarantineInstance, ch.Reason)
	}
	return kernel.Command{}, invalidError("action", "must be move, quarantine or release")
}

func (ch *WaveChange) command(id string) (kernel.Command, error) {
	if ch.Action == DecideWave {
		choice, ok := maintenancepb.Choice_value["CHOICE_"+enumName(ch.Choice)]
		if !ok || choice == 0 {
			return kernel.Command{}, invalidError("choice", "must be wait, force or give-up")
		}
		if !fleet.ValidName(ch.Instance) {
			return kernel.Command{}, invalidError("instance", "must be the name of an instance")
		}
		return maintenance.DecideCommand(id, ch.Instance, maintenancepb.Choice(choice))
	}
	verb, ok := maintenancepb.Verb_value["VERB_"+enumName(string(ch.Action))]
	if !ok || verb == 0 {
		return kernel.Command{}, invalidError("action", "must be start, pause, resume, abort or decide")
	}
	if !fleet.ValidName(ch.Wave) {
		return kernel.Command{}, invalidError("wave", "must be the name of a wave")
	}
	return maintenance.ControlCommand(id, ch.Wave, maintenancepb.Verb(verb))
}

func (ch *JobChange) command(id string) (kernel.Command, error) {
	switch {
	case ch.Action != CancelJob:
		return kernel.Command{}, invalidError("action", "must be cancel")
	case !fleet.ValidName(ch.Team):
		return kernel.Command{}, invalidError("team", "must be the name of a team")
	case ch.Job == "":
		return kernel.Command{}, invalidError("job", "must be the identifier of a job")
	}
	return job.CancelCommand(id, ch.Team, ch.Job)
}

// enumName returns the name of an enum value, without its prefix, for a word in kebab case.
func enumName(word string) string { return strings.ToUpper(strings.ReplaceAll(word, "-", "_")) }

// kebabName returns the name of an enum value without its prefix in kebab case.
func kebabName(name, prefix string) string {
	return strings.ReplaceAll(strings.ToLower(strings.TrimPrefix(name, prefix)), "_", "-")
}

func (s *Server) instances(ctx context.Context, _ any) (any, error) {
	body, err := s.query(ctx, pool.Name, nil)
	if err != nil {
		return nil, err
	}
	state, err := pool.DecodeState(body)
	if err != nil {
		return nil, err
	}
	list := make([]Instance, 0, len(state))
	for _, in := range state {
		item := Instance{
			Instance: in.Name, Pool: in.Pool, To: in.To, Requested: in.Requested, Condition: pool.Condition(in),
			Reason: in.Reason, Epoch: in.Epoch, Losses: in.Losses, Removed: in.Removed,
		}
		if in.Move != poolpb.Move_MOVE_NONE {
			item.Move = kebabName(in.Move.String(), "MOVE_")
		}
		list = append(list, item)
	}
	return list, nil
}

func (s *Server) waves(ctx context.Context, _ any) (any, error) {
	body, err := s.query(ctx, maintenance.Name, nil)
	if err != nil {
		return nil, err
	}
	state, err := maintenance.DecodeState(body)
	if err != nil {
		return nil, err
	}
	list := make([]Wave, 0, len(state))
	for _, w := range state {
		item := Wave{
			Wave: w.Name, Phase: kebabName(w.Phase.String(), "PHASE_"), Reason: w.Reason, StartedAt: optionalTime(w.StartedAt),
			EndedAt: optionalTime(w.EndedAt), Pending: w.Pending, Maintained: w.Maintained,
		}
		for _, p := range w.Permits {
			item.Permits = append(item.Permits, Permit{
				Instance: p.Instance, Stage: kebabName(p.Stage.String(), "STAGE_"), Stuck: p.Stuck, Forced: p.Forced,
			})
		}
		list = append(list, item)
	}
	return list, nil
}

// optionalTime returns nil if ns is 0, which stands for an event that hasn't happened.
func optionalTime(ns int64) *time.Time {
	if ns == 0 {
		return nil
	}
	at := unixTime(ns)
	return &at
}

type jobQuery struct {
	team, job string
	all       bool
}

func decodeJobQuery(_ context.Context, r *http.Request) (any, error) {
	q := jobQuery{team: r.PathValue("team"), job: r.PathValue("job")}
	if q.team == "" {
		q.team, q.all = r.URL.Query().Get("team"), r.URL.Query().Get("all") == "true"
	}
	return q, nil
}

func (s *Server) jobs(ctx context.Context, request any) (any, error) {
	q, _ := request.(jobQuery)
	req, err := job.TeamQuery(q.team, !q.all)
	if err != nil {
		return nil, err
	}
	body, err := s.query(ctx, job.Name, req)
	if err != nil {
		return nil, err
	}
	state, err := job.DecodeJobs(body)
	if err != nil {
		return nil, err
	}
	list := make([]Job, 0, len(state))
	for _, j := range state {
		list = append(list, toJob(j))
	}
	return list, nil
}

func (s *Server) job(ctx context.Context, request any) (any, error) {
	q, _ := request.(jobQuery)
	req, err := job.Query(q.team, q.job)
	if err != nil {
		return nil, err
	}
	body, err := s.query(ctx, job.Name, req)
	if err != nil {
		return nil, err
	}
	j, err := job.DecodeJob(body)
	if err != nil {
		return nil, err
	}
	return toJob(j), nil
}

func toJob(j *jobpb.Job) Job {
	return Job{
		Team: j.Submit.GetTeam(), Job: j.Submit.GetId(), Queue: j.Submit.GetQueue(),
		Phase: kebabName(j.Phase.String(), "PHASE_"), Reason: j.Reason, Instance: j.Instance, Previous: j.Previous,
		Starts: j.Starts, Moves: j.Moves, FailedOn: j.FailedOn, Epoch: j.Epoch, Idempotent: j.Submit.GetIdempotent(),
		Throttled: j.Throttled, SubmittedAt: unixTime(j.SubmittedAt), EndedAt: optionalTime(j.EndedAt),
	}
}

func decodeQuotaQuery(_ context.Context, r *http.Request) (any, error) {
	return r.URL.Query().Get("team"), nil
}

func (s *Server) quotas(ctx context.Context, request any) (any, error) {
	team, _ := request.(string)
	body, err := s.query(ctx, quota.Name, nil)
	if err != nil {
		return nil, err
	}
	state, err := quota.DecodeState(body)
	if err != nil {
		return nil, err
	}
	list := []Quota{}
	for _, u := range state {
		name, ok := strings.CutPrefix(u.Resource(), quota.TeamResource(""))
		if !ok || team != "" && name != team {
			continue
		}
		list = append(list, Quota{Team: name, UpperLimit: u.Capacity(), Jobs: u.Reserved(), Holders: u.Holders()})
	}
	if team != "" && len(list) == 0 {
		return nil, newError(http.StatusNotFound, KindNotFound, "no team "+team)
	}
	return list, nil
}
