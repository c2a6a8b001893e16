package control

import (
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscusroute/hibiscusroute/internal/job"
	"github.com/hibiscusroute/hibiscusroute/internal/job/jobpb"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/key"
	"github.com/hibiscusroute/hibiscusroute/internal/key/keypb"
	"github.com/hibiscusroute/hibiscusroute/internal/maintenance"
	"github.com/hibiscusroute/hibiscusroute/internal/maintenance/maintenancepb"
	"github.com/hibiscusroute/hibiscusroute/internal/pool"
	"github.com/hibiscusroute/hibiscusroute/internal/pool/poolpb"
	"github.com/hibiscusroute/hibiscusroute/internal/quota"
	"github.com/hibiscusroute/hibiscusroute/internal/quota/quotapb"
	"github.com/hibiscusroute/hibiscusroute/internal/timeline"
)

// limitRecordInterval is the minimum time between two events about the limit of a team. Demand that alternates within
// seconds would otherwise overwrite the other events of the time line.
const limitRecordInterval = time.Minute

// recordCommand adds an applied command to the time line. It decodes the body a second time, because the kernel has no
// side effects.
func (v *Voter) recordCommand(c kernel.Command) {
	switch c.Plugin {
	case job.Name:
		decodeAndRecord(v, c, &jobpb.Command{}, v.recordJob)
	case pool.Name:
		decodeAndRecord(v, c, &poolpb.Command{}, v.recordPool)
	case maintenance.Name:
		decodeAndRecord(v, c, &maintenancepb.Command{}, v.recordMaintenance)
	case quota.Name:
		decodeAndRecord(v, c, &quotapb.Command{}, v.recordQuota)
	case key.Name:
		decodeAndRecord(v, c, &keypb.Command{}, v.recordKey)
	}
}

func decodeAndRecord[M proto.Message](v *Voter, c kernel.Command, m M, record func(M)) {
	if err := proto.Unmarshal(c.Body, m); err != nil {
		v.cfg.Log.Error(err, "cannot decode an applied command for the time line", "plugin", c.Plugin)
		return
	}
	record(m)
}

func (v *Voter) recordJob(m *jobpb.Command) {
	event := func(kind, key, instance, text string) {
		team, _, _ := strings.Cut(key, "/")
		v.cfg.Record(timeline.Event{Kind: kind, Job: key, Team: team, Instance: instance, Text: text})
	}
	switch c := m.Change.(type) {
	case *jobpb.Command_Submit:
		event("job-submitted", job.Key(c.Submit.Team, c.Submit.Id), "", "queue "+c.Submit.Queue)
	case *jobpb.Command_Cancel:
		event("job-cancelled", c.Cancel.Key, "", "")
	case *jobpb.Command_Start:
		event("job-started", c.Start.Key, c.Start.Instance, "")
	case *jobpb.Command_Reports:
		for _, r := range c.Reports.Reports {
			if r.Outcome >= jobpb.Outcome_OUTCOME_FINISHED {
				event("job-reported", r.Key, "", strings.TrimSuffix(kebabCase(r.Outcome.String(), "OUTCOME_")+": "+r.Reason, ": "))
			}
		}
	case *jobpb.Command_Preempt:
		reason := "another team is below its share"
		switch {
		case c.Preempt.Drain:
			reason = "its instance drains"
		case c.Preempt.Urgent:
			reason = "urgent work needs the capacity"
		}
		event("job-preempted", c.Preempt.Key, "", "by "+kebabCase(c.Preempt.How.String(), "HOW_")+": "+reason)
	case *jobpb.Command_Lost:
		event("job-lost", c.Lost.Key, "", "its instance is lost")
	case *jobpb.Command_Misfit:
		event("job-misfit", c.Misfit.Key, "", "no worker of the pool can run it")
	}
}

func (v *Voter) recordPool(m *poolpb.Command) {
	event := func(kind, instance, text string) {
		v.cfg.Record(timeline.Event{Kind: kind, Instance: instance, Text: text})
	}
	switch c := m.Change.(type) {
	case *poolpb.Command_Request:
		event("move-requested", c.Request.Instance, "to pool "+c.Request.Pool+" by an operator")
	case *poolpb.Command_Begin:
		event("move-started", c.Begin.Instance, "drains for pool "+c.Begin.To)
	case *poolpb.Command_Release:
		event("move-released", c.Release.Instance, "left its old pool")
	case *poolpb.Command_Use:
		event("move-ended", c.Use.Instance, "in use by its new pool")
	case *poolpb.Command_GoBack:
		event("move-reverted", c.GoBack.Instance, "stays in its pool")
	case *poolpb.Command_Health:
		for _, name := range c.Health.Unhealthy {
			event("instance-unhealthy", name, "")
		}
		for _, name := range c.Health.Healthy {
			event("instance-healthy", name, "")
		}
	case *poolpb.Command_Quarantine:
		kind := "quarantine-ended"
		if c.Quarantine.On {
			kind = "quarantine-started"
		}
		event(kind, c.Quarantine.Instance, c.Quarantine.Reason)
	}
}

func (v *Voter) recordMaintenance(m *maintenancepb.Command) {
	event := func(kind, instance, text string) {
		v.cfg.Record(timeline.Event{Kind: kind, Instance: instance, Text: text})
	}
	step := func(kind string, s *maintenancepb.Step) { event(kind, s.Instance, "wave "+s.Wave) }
	switch c := m.Change.(type) {
	case *maintenancepb.Command_Control:
		event("wave-control", "", kebabCase(c.Control.Verb.String(), "VERB_")+" of wave "+c.Control.Wave+" by an operator")
	case *maintenancepb.Command_Decide:
		event("stop-decided", c.Decide.Instance, kebabCase(c.Decide.Choice.String(), "CHOICE_")+" by an operator")
	case *maintenancepb.Command_Permit:
		step("stop-permitted", c.Permit)
	case *maintenancepb.Command_Stopped:
		step("stop-drained", c.Stopped)
	case *maintenancepb.Command_Back:
		step("stop-returned", c.Back)
	case *maintenancepb.Command_Done:
		step("stop-done", c.Done)
	case *maintenancepb.Command_Stuck:
		step("stop-stuck", c.Stuck)
	case *maintenancepb.Command_Drop:
		step("stop-dropped", c.Drop)
	case *maintenancepb.Command_Halt:
		event("wave-halted", "", "wave "+c.Halt.Wave+": "+c.Halt.Reason)
	}
}

// recordQuota records the holders of a team's limit when all of its units are allocated, including idle ones. A query
// returns the current holders.
func (v *Voter) recordQuota(m *quotapb.Command) {
	now := v.now()
	for _, ch := range m.Changes {
		team, ok := strings.CutPrefix(ch.Resource, quota.TeamResource(""))
		if at, seen := v.limitRecordedAt[team]; !ok || seen && now-at < limitRecordInterval {
			continue
		}
		if usage := v.quotas.Usage(ch.Resource); usage.Used() >= usage.Capacity() {
			v.limitRecordedAt[team] = now
			v.cfg.Record(timeline.Event{Kind: "limit-allocated", Team: team, Text: usage.String()})
		}
	}
}

func (v *Voter) recordKey(m *keypb.Command) {
	switch c := m.Change.(type) {
	case *keypb.Command_Grant:
		v.cfg.Record(timeline.Event{Kind: "key-granted", Team: c.Grant.Team, Text: "key " + c.Grant.Id})
	case *keypb.Command_Revoke:
		v.cfg.Record(timeline.Event{Kind: "key-revoked", Text: "key " + c.Revoke.Id})
	}
}

// kebabCase converts the name of an enum value to kebab case without its prefix.
func kebabCase(name, prefix string) string {
	return strings.ReplaceAll(strings.ToLower(strings.TrimPrefix(name, prefix)), "_", "-")
}
