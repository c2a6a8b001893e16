package fleet_test

import (
	"encoding/json"
	"math"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/hibiscusroute/hibiscusroute/pkg/fleet"
)

// Guards against example files that differ from the code of the examples. Run with -update to write them.
func TestExampleFiles(t *testing.T) {
	for _, tt := range []struct {
		file  string
		build func() (*fleet.Configuration, error)
	}{{"addis.json", addis}, {"bokk-jarr.json", bokkJarr}} {
		c, err := tt.build()
		assert.NilError(t, err)
		data, err := c.Print()
		assert.NilError(t, err)
		golden.Assert(t, string(data), "../../../examples/"+tt.file)
		saved, err := os.ReadFile("../../examples/" + tt.file)
		assert.NilError(t, err)
		parsed, err := fleet.Parse(saved)
		assert.NilError(t, err)
		assert.Equal(t, len(parsed.Check()), 0)
		assert.DeepEqual(t, parsed, c)
	}
}

// Guards against a spread that puts so much of a pool into one rack or zone that its loss stops the service.
func TestAddSpread(t *testing.T) {
	for _, build := range []func() (*fleet.Configuration, error){addis, bokkJarr} {
		c, err := build()
		assert.NilError(t, err)
		count := map[string]int{}
		for _, in := range c.Instances {
			for _, domain := range []string{in.Rack, in.AvailabilityZone} {
				count[domain+"/"+in.Pool]++
				count[domain]++
			}
			assert.Assert(t, count[in.Rack+"/"+in.Pool] <= 1 && count[in.Rack] <= 4, in.Name)
			assert.Assert(t, count[in.AvailabilityZone+"/"+in.Pool] <= 4, in.Name)
		}
	}
	f := fleet.New(fleet.Config{Processes: 1})
	f.AddSpread(fleet.Spread{})
	_, err := f.Build()
	assert.ErrorContains(t, err, "a spread needs availability zones and a rack size")
}

// Guards against faults that Check overlooks, reports at another path, or reports more than once.
func TestCheck(t *testing.T) {
	long := strings.Repeat("a", fleet.MaxName+1)
	for _, tt := range []struct {
		name   string
		change func(c *fleet.Configuration)
		want   []string
	}{
		{"no fault", func(*fleet.Configuration) {}, nil},
		{"format", func(c *fleet.Configuration) { c.Format = 2 }, []string{"format: must be 1"}},
		{"processes", func(c *fleet.Configuration) { c.Processes = 0 }, []string{"processes: must be between 1"}},
		{"empty name", func(c *fleet.Configuration) { c.AvailabilityZones[0].Region = "" },
			[]string{"availability-zones[0].region: must not be empty"}},
		{"name in other case", func(c *fleet.Configuration) { c.Teams[1].Name = "Grocers" },
			[]string{"teams[1].name: must be kebab case"}},
		{"name with double hyphen", func(c *fleet.Configuration) { c.Teams[1].Name = "a--b" },
			[]string{"teams[1].name: must be kebab case"}},
		{"name with hyphen at the end", func(c *fleet.Configuration) { c.Queues[1].Name = "a-" },
			[]string{"queues[1].name: must be kebab case"}},
		{"long name", func(c *fleet.Configuration) { c.Waves[0].Name = long }, []string{"waves[0].name: must be kebab case"}},
		{"repeated zone", func(c *fleet.Configuration) {
			c.AvailabilityZones = append(c.AvailabilityZones, c.AvailabilityZones[0])
		},
			[]string{`availability-zones[3].name: must be unique, "jarr-1" is also the name of availability-zones[0]`}},
		{"repeated pool", func(c *fleet.Configuration) { c.Pools = append(c.Pools, c.Pools[0]) },
			[]string{"pools[6].name: must be unique"}},
		{"repeated instance", func(c *fleet.Configuration) { c.Instances[3].Name = c.Instances[0].Name },
			[]string{"instances[3].name: must be unique"}},
		{"repeated team", func(c *fleet.Configuration) { c.Teams = append(c.Teams, c.Teams[2]) },
			[]string{"teams[6].name: must be unique"}},
		{"repeated queue", func(c *fleet.Configuration) { c.Queues[4].Name = c.Queues[3].Name },
			[]string{"queues[4].name: must be unique"}},
		{"repeated wave", func(c *fleet.Configuration) { c.Waves = append(c.Waves, c.Waves[0]) },
			[]string{"waves[1].name: must be unique"}},
		{"no spare pool", func(c *fleet.Configuration) { c.Pools[5].Spare = false }, []string{"pools: must have one pool"}},
		{"two spare pools", func(c *fleet.Configuration) {
			c.Pools = append(c.Pools, fleet.Pool{Name: "more", Spare: true})
		}, []string{"pools[6].spare: must be true for one pool only, pools[5]"}},
		{"budget", func(c *fleet.Configuration) { c.Pools[5].Budget.MaxUnavailable = -1 },
			[]string{"pools[5].availability-budget.max-unavailable: must be between 0", "waves[0].pools[5]: pool \"spare\" has no"}},
		{"budget percent", func(c *fleet.Configuration) { c.Pools[0].Budget.MaxUnavailablePercent = 101 },
			[]string{"pools[0].availability-budget.max-unavailable-percent: must be between 0 and 100"}},
		{"negative minimum", func(c *fleet.Configuration) { c.Pools[0].MinInstances = -1 },
			[]string{"pools[0].min-instances: must be between 0"}},
		{"minimum above size", func(c *fleet.Configuration) { c.Pools[0].MinInstances = 11 },
			[]string{"pools[0].min-instances: must be at most the number of instances in the pool, 10"}},
		{"unknown zone", func(c *fleet.Configuration) { c.Instances[0].AvailabilityZone = "jarr-9" },
			[]string{`instances[0].availability-zone: no availability zone is named "jarr-9"`}},
		{"no zone", func(c *fleet.Configuration) { c.Instances[0].AvailabilityZone = "" },
			[]string{"instances[0].availability-zone: must name an availability zone"}},
		{"no rack", func(c *fleet.Configuration) { c.Instances[0].Rack = "" }, []string{"instances[0].rack: must not be empty"}},
		{"unknown pool", func(c *fleet.Configuration) { c.Instances[0].Pool = "mending" },
			[]string{`instances[0].pool: no pool is named "mending"`}},
		{"sizes", func(c *fleet.Configuration) {
			in := &c.Instances[0]
			in.Processors, in.MemoryMiB, in.Accelerators, in.Slots, in.Connections = 0, 0, -1, 0, 0
		}, []string{"instances[0].processors: must", "instances[0].memory-mib: must", "instances[0].accelerators: must",
			"instances[0].slots: must", "instances[0].connections: must be between 1"}},
		{"too few connections", func(c *fleet.Configuration) { c.Instances[0].Connections = 7 },
			[]string{"instances[0].connections: must be at least the number of processes, 8"}},
		{"share and limit", func(c *fleet.Configuration) { c.Teams[0].Share, c.Teams[0].UpperLimit = 0, -1 },
			[]string{"teams[0].share: must be between 1", "teams[0].upper-limit: must be between 1"}},
		{"queue of unknown pool", func(c *fleet.Configuration) { c.Queues[0].Pool = "mending" },
			[]string{`queues[0].pool: no pool is named "mending"`}},
		{"queue of spare pool", func(c *fleet.Configuration) { c.Queues[0].Pool = "spare" },
			[]string{"queues[0].pool: must not be the spare pool"}},
		{"open without team", func(c *fleet.Configuration) { c.Queues[5].OpenTeam = "" },
			[]string{"queues[5].open-team: must name a team"}},
		{"open with unknown team", func(c *fleet.Configuration) { c.Queues[5].OpenTeam = "bars" },
			[]string{`queues[5].open-team: no team is named "bars"`}},
		{"closed with open team", func(c *fleet.Configuration) { c.Queues[0].OpenTeam = "cafes" },
			[]string{"queues[0].open-team: must be left out"}},
		{"teams of queue", func(c *fleet.Configuration) { c.Queues[0].Teams = []string{"cafes", "bars", "cafes"} },
			[]string{`queues[0].teams[1]: no team is named "bars"`, `queues[0].teams[2]: "cafes" is listed twice`}},
		{"queue bounds", func(c *fleet.Configuration) {
			c.Queues[0].MaxRun, c.Queues[0].MaxWaiting, c.Queues[0].MaxWait = 0, 0, 0
		}, []string{"queues[0].max-run: must be more than 0s", "queues[0].max-waiting: must be between 1",
			"queues[0].max-wait: must be more than 0s"}},
		{"long wait", func(c *fleet.Configuration) { c.Queues[0].MaxWait = fleet.Duration(time.Hour) },
			[]string{"queues[0].max-wait: must be more than 0s and at most 30m0s, is 1h0m0s"}},
		{"long run", func(c *fleet.Configuration) { c.Queues[0].MaxRun = math.MaxInt64 }, []string{"queues[0].max-run: must"}},
		{"urgent wait", func(c *fleet.Configuration) { c.Queues[0].Urgent = true },
			[]string{"queues[0].max-wait: must be at most 3.3s on an urgent queue"}},
		{"wave without pools and order", func(c *fleet.Configuration) { c.Waves[0].Pools, c.Waves[0].Order = nil, nil },
			[]string{"waves[0].pools: must name at least one pool", "waves[0].order: must name at least one availability zone"}},
		{"wave of unknown pool and zone", func(c *fleet.Configuration) {
			c.Waves[0].Pools, c.Waves[0].Order = []string{"mending"}, []string{"jarr-1", "jarr-1"}
		}, []string{`waves[0].pools[0]: no pool is named "mending"`, `waves[0].order[1]: "jarr-1" is listed twice`}},
		{"wave without budget", func(c *fleet.Configuration) { c.Pools[1].Budget = fleet.Budget{} },
			[]string{`waves[0].pools[1]: pool "washing" has no availability budget`}},
		{"wave with budget of none", func(c *fleet.Configuration) { c.Pools[1].Budget.MaxUnavailablePercent = 9 },
			[]string{`waves[0].pools[1]: the availability budget of pool "washing" allows none of its 10 instances`}},
		{"wave bounds", func(c *fleet.Configuration) { c.Waves[0].MaxParallel, c.Waves[0].DrainDeadline = 0, -1 },
			[]string{"waves[0].max-parallel: must be between 1", "waves[0].drain-deadline: must be more than 0s"}},
		{"weights", func(c *fleet.Configuration) {
			c.Weights = fleet.Weights{Buffer: -1, RollOut: math.NaN(), Moves: math.Inf(1), Share: 1}
		}, []string{"weights.buffer: must", "weights.roll-out: must", "weights.moves: must"}},
		{"too many waves", func(c *fleet.Configuration) { c.Waves = make([]fleet.Wave, fleet.MaxWaves+1) },
			[]string{"waves: must have at most 1024 items, has 1025"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c, err := bokkJarr()
			assert.NilError(t, err)
			tt.change(c)
			faults := c.Check()
			assert.Equal(t, len(faults), len(tt.want), "%s", fleet.JoinFaults(faults))
			for i, f := range faults {
				assert.Assert(t, strings.HasPrefix(f.String(), tt.want[i]), "%s", f)
			}
		})
	}
}

// Guards against an answer to a faulty submission that grows with the document.
func TestCheckBoundsFaults(t *testing.T) {
	c := &fleet.Configuration{Instances: make([]fleet.Instance, fleet.MaxInstances)}
	faults := c.Check()
	assert.Equal(t, len(faults), fleet.MaxFaults)
	assert.Assert(t, strings.HasSuffix(faults[len(faults)-1].Message, "more faults are not listed"))
}

// Guards against changes that Diff overlooks, or lists in an order that varies between runs.
func TestDiff(t *testing.T) {
	a, err := addis()
	assert.NilError(t, err)
	b, err := addis()
	assert.NilError(t, err)
	assert.Equal(t, fleet.Diff(a, b).String(), "")
	b.Processes = 8
	b.Teams = append(b.Teams[1:], fleet.Team{Name: "visitors", Share: 30, UpperLimit: 1})
	b.Queues[0], b.Queues[1] = b.Queues[1], b.Queues[0]
	b.Queues[2].MaxWait = fleet.Duration(time.Second)
	b.Waves[0].Order = []string{"addis-c"}
	b.Weights.Moves = 2
	var got []string
	for _, c := range fleet.Diff(a, b).Changes {
		got = append(got, c.String())
	}
	assert.DeepEqual(t, got, []string{
		"changed processes from 9 to 8", "removed teams[water-networks]", "added teams[visitors]",
		`changed queues[dispatch].max-wait from "30s" to "1s"`, "reordered queues",
		`changed waves[reboot].order from ["addis-a","addis-b","addis-c"] to ["addis-c"]`, "changed weights.moves from 5 to 2",
	})
}

// Guards against fields that Parse ignores, and data that it doesn't read.
func TestParseRefuses(t *testing.T) {
	for _, tt := range []struct{ doc, want string }{
		{`{"format": 1, "pool": []}`, `unknown field "pool"`},
		{`{"format": 1} {}`, "data after the document"},
		{`{"format": 1`, "unexpected EOF"},
		{`{"queues": [{"max-wait": 30}]}`, "duration must be a string"},
		{`{"queues": [{"max-wait": "30"}]}`, "missing unit"},
		{`{"teams": [], "teams": []}`, `"teams" is given twice`},
		{`{"pools": [{"name": "a", "Name": "b"}]}`, `"pools[0].Name" is given twice`},
	} {
		_, err := fleet.Parse([]byte(tt.doc))
		assert.ErrorContains(t, err, tt.want)
	}
}

// Guards against documents that make Parse or Check panic, or that change when they are printed and parsed again.
func FuzzParseCheck(f *testing.F) {
	f.Add([]byte(`{"format":1,"processes":1,"pools":[{"name":"a"},{"name":"b","spare":true}],"teams":[{"name":"t","share":1,
		"upper-limit":2}],"queues":[{"name":"q","pool":"a","open":true,"open-team":"t","teams":["t"],"max-run":"1m",
		"max-waiting":3,"max-wait":"2.5s"}],"weights":{"moves":0.1}}`))
	f.Add([]byte(`{"instances":[{"name":"i","availability-zone":"z","rack":"r","pool":"a","slots":8,"connections":64}]}`))
	f.Add([]byte(`{"format":1,"pools":[{"name":"a","spare":true}],"waves":[{"pools":["a","b"],"order":[null]}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := fleet.Parse(data)
		if err != nil {
			return
		}
		c.Check()
		printed, err := c.Print()
		assert.NilError(t, err)
		again, err := fleet.Parse(printed)
		assert.NilError(t, err)
		assert.Assert(t, reflect.DeepEqual(again, c))
		if diff := fleet.Diff(c, again); len(c.Check()) == 0 {
			assert.Equal(t, diff.String(), "")
		}
		assert.Assert(t, json.Valid(printed))
	})
}
