package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/hibiscusroute/hibiscusroute/internal/operator"
)

func init() {
	register(command{
		path: "job list", short: "List the jobs that haven't ended",
		build: func(a *app) flags.Commander { return &jobList{app: a} },
	})
	register(command{
		path: "job show", short: "Show one job",
		build: func(a *app) flags.Commander { return &jobShow{app: a} },
	})
	register(command{
		path: "job cancel", short: "Cancel a job",
		build: func(a *app) flags.Commander { return &jobCancel{app: a} },
	})
	register(command{
		path: "quota show", short: "Show who holds the upper limit of a team, or of all teams",
		build: func(a *app) flags.Commander { return &quotaShow{app: a} },
	})
}

type jobList struct {
	app *app
	clientFlags
	Team string `long:"team" env:"HIBISCUSROUTE_TEAM" description:"only this team"`
	All  bool   `long:"all" env:"HIBISCUSROUTE_JOB_ALL" description:"jobs that ended too"`
}

func (c *jobList) Execute([]string) error {
	client, err := c.Client.Load()
	if err != nil {
		return err
	}
	list, err := client.Jobs(c.app.ctx, c.Team, c.All)
	if err != nil || c.app.JSON {
		return c.app.printJSONUnlessError(list, err)
	}
	rows := [][]any{{"JOB", "QUEUE", "PHASE", "INSTANCE", "STARTS", "MOVES", "SUBMITTED", "REASON"}}
	for _, j := range list {
		rows = append(rows, []any{
			j.Team + "/" + j.Job, j.Queue, j.Phase, orDash(j.Instance), j.Starts, j.Moves,
			j.SubmittedAt.Format(time.RFC3339), orDash(j.Reason),
		})
	}
	return c.app.printTable(rows)
}

// jobArgs holds the argument that names a job, in the format of the time line and of the list of jobs.
type jobArgs struct {
	Job string `positional-arg-name:"TEAM/JOB" description:"team and identifier of the job"`
}

func (a jobArgs) split() (team, id string, err error) {
	team, id, ok := strings.Cut(a.Job, "/")
	if !ok || team == "" || id == "" {
		return "", "", errUsage.New("job must be given as TEAM/JOB, is %q", a.Job)
	}
	return team, id, nil
}

type jobShow struct {
	app *app
	clientFlags
	Args jobArgs `positional-args:"yes" required:"yes"`
}

func (c *jobShow) Execute([]string) error {
	team, id, err := c.Args.split()
	if err != nil {
		return err
	}
	client, err := c.Client.Load()
	if err != nil {
		return err
	}
	j, err := client.Job(c.app.ctx, team, id)
	if err != nil || c.app.JSON {
		return c.app.printJSONUnlessError(j, err)
	}
	return c.app.printTable([][]any{
		{"job", c.Args.Job}, {"queue", j.Queue}, {"phase", j.Phase}, {"reason", orDash(j.Reason)},
		{"instance", orDash(j.Instance)}, {"previous instance", orDash(j.Previous)}, {"starts", j.Starts},
		{"moves", j.Moves}, {"failed on", orDash(strings.Join(j.FailedOn, ", "))}, {"idempotent", j.Idempotent},
		{"throttled", j.Throttled}, {"submitted", j.SubmittedAt.Format(time.RFC3339)},
		{"ended", formatOptionalTime(j.EndedAt)},
	})
}

func formatOptionalTime(t *time.Time) string {
	if t == nil {
		return "-"
	}
	return t.Format(time.RFC3339)
}

type jobCancel struct {
	app *app
	clientFlags
	changeFlags
	Args jobArgs `positional-args:"yes" required:"yes"`
}

func (c *jobCancel) Execute([]string) error {
	team, id, err := c.Args.split()
	if err != nil {
		return err
	}
	client, err := c.Client.Load()
	if err != nil {
		return err
	}
	ch := operator.JobChange{Action: operator.CancelJob, Team: team, Job: id, OperationID: c.operationID()}
	j, err := client.ChangeJob(c.app.ctx, ch)
	if err != nil {
		return withRetryCommand(err, fmt.Sprintf("job cancel --operation-id %s %s", ch.OperationID, c.Args.Job))
	}
	return c.app.printResult(j, "job %s is %s", c.Args.Job, j.Phase)
}

type quotaShow struct {
	app *app
	clientFlags
	Args struct {
		Team string `positional-arg-name:"TEAM" description:"only this team"`
	} `positional-args:"yes"`
}

func (c *quotaShow) Execute([]string) error {
	client, err := c.Client.Load()
	if err != nil {
		return err
	}
	list, err := client.Quotas(c.app.ctx, c.Args.Team)
	if err != nil || c.app.JSON {
		return c.app.printJSONUnlessError(list, err)
	}
	rows := [][]any{{"TEAM", "UPPER LIMIT", "HOLDER", "UNITS"}}
	for _, q := range list {
		rows = append(rows, []any{q.Team, q.UpperLimit, "running jobs", q.Jobs})
		for _, h := range sortedKeys(q.Holders) {
			rows = append(rows, []any{q.Team, q.UpperLimit, h, q.Holders[h]})
		}
	}
	return c.app.printTable(rows)
}
