package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"

	"github.com/hibiscusroute/hibiscusroute/internal/inbound"
	"github.com/hibiscusroute/hibiscusroute/internal/job"
	"github.com/hibiscusroute/hibiscusroute/internal/job/jobpb"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/timeline"
	"github.com/hibiscusroute/hibiscusroute/internal/view"
)

// maxSubmitBytes is the maximum size of the body of POST /jobs. It has room for a payload of 64 KiB in base64 and the
// other fields.
const maxSubmitBytes = 96 << 10

// commandTimeout is the maximum time to wait for the control group.
const commandTimeout = 5 * time.Second

// JobRequest is the JSON body of POST /jobs.
type JobRequest struct {
	// ID is chosen by the caller and is the same when the caller sends the job again. It must be a UUIDv7 when the job
	// is not idempotent.
	ID    string `json:"id"`
	Queue string `json:"queue"`
	// Processors is the number of cores; it may be a fraction.
	Processors   float64 `json:"processors"`
	MemoryMiB    int64   `json:"memory-mib"`
	Accelerators int64   `json:"accelerators"`
	// ExpectedRun is a duration such as "30s".
	ExpectedRun string `json:"expected-run"`
	Idempotent  bool   `json:"idempotent"`
	// Payload is passed to the task; it has at most 64 KiB and is encoded in base64.
	Payload []byte `json:"payload"`
}

// JobStatus is the JSON body of an answer that reports the state of a job.
type JobStatus struct {
	ID    string `json:"id"`
	Queue string `json:"queue"`
	// State is waiting, starting, running, checkpointing, finished, failed, cancelled or unknown.
	State    string `json:"state"`
	Reason   string `json:"reason,omitempty"`
	Instance string `json:"instance,omitempty"`
	Starts   int32  `json:"starts"`
	Moves    int32  `json:"moves"`
}

// JobConfig holds the settings of Jobs.
type JobConfig struct {
	View    func() (*view.View, error)
	Propose func(ctx context.Context, c kernel.Command) (kernel.Result, error)
	Query   func(ctx context.Context, plugin string, req []byte) ([]byte, error)
	// Record adds an event to the timeline; it may be nil.
	Record func(e timeline.Event)
}

// Jobs holds the handlers of the job paths.
type Jobs struct{ cfg JobConfig }

// NewJobs returns the handlers of the job paths.
func NewJobs(cfg JobConfig) *Jobs {
	if cfg.Record == nil {
		cfg.Record = func(timeline.Event) {}
	}
	return &Jobs{cfg: cfg}
}

// Submit commits a job and answers with its state. A job that is sent again gets the state of the first submission.
func (j *Jobs) Submit(w http.ResponseWriter, r *http.Request) {
	v, err := j.cfg.View()
	if err != nil {
		j.reject(w, r, http.StatusServiceUnavailable, Rejection{outcomeNotRun, "no-lease", err.Error()})
		return
	}
	req, err := decodeJobRequest(w, r)
	if err != nil {
		status, _ := inbound.Status(err)
		reason := "malformed"
		if status == http.StatusServiceUnavailable {
			reason = "overloaded"
			w.Header().Set("Retry-After", "1")
		}
		j.reject(w, r, status, Rejection{outcomeNotRun, reason, err.Error()})
		return
	}
	r.SetPathValue("id", req.ID)
	queue, ok := v.Queue(req.Queue)
	if !ok {
		j.reject(w, r, http.StatusNotFound, Rejection{outcomeNotRun, "unknown-queue", "no queue " + req.Queue})
		return
	}
	team, err := v.Authorize(queue, bearerKey(r))
	if err != nil {
		j.reject(w, r, authorizationStatus(err), Rejection{outcomeNotRun, "unauthorized", err.Error()})
		return
	}
	m, err := req.submitMessage(team)
	if err != nil {
		j.reject(w, r, http.StatusBadRequest, Rejection{outcomeNotRun, "malformed", err.Error()})
		return
	}
	c, err := job.SubmitCommand("", m)
	if err != nil {
		j.reject(w, r, http.StatusBadRequest, Rejection{outcomeNotRun, "malformed", err.Error()})
		return
	}
	j.proposeCommand(w, r, c, http.StatusAccepted)
}

// Get answers with the state of a job of the team to which the key belongs.
func (j *Jobs) Get(w http.ResponseWriter, r *http.Request) {
	team, ok := j.authenticateTeam(w, r)
	if !ok {
		return
	}
	q, err := job.Query(team, r.PathValue("id"))
	if err != nil {
		j.reject(w, r, http.StatusBadRequest, Rejection{outcomeNotRun, "malformed", err.Error()})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), commandTimeout)
	defer cancel()
	body, err := j.cfg.Query(ctx, job.Name, q)
	if err != nil {
		j.reject(w, r, commandErrorStatus(err), Rejection{outcomeNotRun, "query-failed", err.Error()})
		return
	}
	writeJobStatus(w, http.StatusOK, body)
}

// Cancel cancels a job of the team to which the key belongs. It may be repeated, and answers with the state that was
// committed first.
func (j *Jobs) Cancel(w http.ResponseWriter, r *http.Request) {
	team, ok := j.authenticateTeam(w, r)
	if !ok {
		return
	}
	c, err := job.CancelCommand("", team, r.PathValue("id"))
	if err != nil {
		j.reject(w, r, http.StatusBadRequest, Rejection{outcomeNotRun, "malformed", err.Error()})
		return
	}
	j.proposeCommand(w, r, c, http.StatusOK)
}

// authenticateTeam returns the team to which the key of the request belongs. It answers the request and returns false
// when there is none.
func (j *Jobs) authenticateTeam(w http.ResponseWriter, r *http.Request) (string, bool) {
	v, err := j.cfg.View()
	if err != nil {
		j.reject(w, r, http.StatusServiceUnavailable, Rejection{outcomeNotRun, "no-lease", err.Error()})
		return "", false
	}
	team, err := v.Authenticate(bearerKey(r))
	if err != nil {
		j.reject(w, r, authorizationStatus(err), Rejection{outcomeNotRun, "unauthorized", err.Error()})
		return "", false
	}
	return team, true
}

// proposeCommand commits a command and answers with its result. Submissions and cancellations are idempotent by the
// job's identifier, so it proposes them again after an unknown outcome, and the caller may also send them again.
func (j *Jobs) proposeCommand(w http.ResponseWriter, r *http.Request, c kernel.Command, status int) {
	ctx, cancel := context.WithTimeout(r.Context(), commandTimeout)
	defer cancel()
	res, err := j.cfg.Propose(ctx, c)
	for err != nil && ctx.Err() == nil {
		res, err = j.cfg.Propose(ctx, c)
	}
	if err != nil {
		j.reject(w, r, http.StatusGatewayTimeout, Rejection{
			outcomeUnknown, "outcome-unknown", "the control group did not answer; send the same job again: " + err.Error(),
		})
		return
	}
	if res.Err != nil {
		j.reject(w, r, commandErrorStatus(res.Err), Rejection{outcomeNotRun, "rejected", res.Err.Error()})
		return
	}
	writeJobStatus(w, status, res.Body)
}

func decodeJobRequest(w http.ResponseWriter, r *http.Request) (*JobRequest, error) {
	data, err := inbound.ReadBody(w, r, maxSubmitBytes)
	if err != nil {
		return nil, errorx.Decorate(err, "read job")
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	req := &JobRequest{}
	if err := dec.Decode(req); err != nil {
		return nil, errorx.Decorate(err, "decode job")
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, errorx.IllegalFormat.New("data after the job")
	}
	return req, nil
}

func (q *JobRequest) submitMessage(team string) (*jobpb.Submit, error) {
	run, err := time.ParseDuration(q.ExpectedRun)
	if err != nil {
		return nil, errorx.IllegalFormat.New("expected-run must be a time span such as \"30s\"")
	}
	if !q.Idempotent {
		if id, err := uuid.Parse(q.ID); err != nil || id.Version() != 7 {
			return nil, errorx.IllegalFormat.New("id must be a UUIDv7, because the job is not idempotent")
		}
	}
	return &jobpb.Submit{
		Id: q.ID, Team: team, Queue: q.Queue, ExpectedRun: int64(run), Idempotent: q.Idempotent, Payload: q.Payload,
		Declared: &jobpb.Resources{
			MilliProcessors: int64(q.Processors * 1000), MemoryMib: q.MemoryMiB, Accelerators: q.Accelerators,
		},
	}, nil
}

func bearerKey(r *http.Request) string {
	presented, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return presented
}

func authorizationStatus(err error) int {
	if errorx.IsOfType(err, view.ErrUnauthorized) {
		return http.StatusUnauthorized
	}
	return http.StatusForbidden
}

func commandErrorStatus(err error) int {
	switch {
	case errorx.IsOfType(err, kernel.ErrInvalid):
		return http.StatusBadRequest
	case errorx.IsOfType(err, kernel.ErrNotFound):
		return http.StatusNotFound
	case errorx.IsOfType(err, kernel.ErrConflict):
		return http.StatusConflict
	}
	return http.StatusServiceUnavailable
}

func writeJobStatus(w http.ResponseWriter, status int, body []byte) {
	m, err := job.DecodeJob(body)
	if err != nil {
		writeRejection(w, http.StatusInternalServerError, Rejection{outcomeUnknown, "internal", err.Error()})
		return
	}
	state := strings.ToLower(strings.TrimPrefix(m.Phase.String(), "PHASE_"))
	writeJSON(w, status, JobStatus{
		ID: m.Submit.GetId(), Queue: m.Submit.GetQueue(), State: state, Reason: m.Reason, Instance: m.Instance,
		Starts: m.Starts, Moves: m.Moves,
	})
}

// reject answers with a rejection and records it in the timeline with the job's identifier as the request.
func (j *Jobs) reject(w http.ResponseWriter, r *http.Request, status int, rj Rejection) {
	j.cfg.Record(timeline.Event{
		Kind: "request-rejected", Request: r.PathValue("id"), Text: rj.Outcome + ", " + rj.Reason + ": " + rj.Message,
	})
	writeRejection(w, status, rj)
}

func writeRejection(w http.ResponseWriter, status int, r Rejection) {
	w.Header().Set(headerOutcome, r.Outcome)
	writeJSON(w, status, r)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only when the caller has disconnected
}
