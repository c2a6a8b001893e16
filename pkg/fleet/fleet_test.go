package fleet_test

import (
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/hibiscusroute/hibiscusroute/examples"
	"github.com/hibiscusroute/hibiscusroute/pkg/fleet"
)

// Guards against example files that differ from the configurations that package examples builds. Run with -update to
// write the files.
func TestExampleFiles(t *testing.T) {
	for _, tt := range []struct {
		file  string
		build func() (*fleet.Configuration, error)
	}{{"addis.json", examples.Addis}, {"bokk-jarr.json", examples.BokkJarr}} {
		c, err := tt.build()
		assert.NilError(t, err)
		data, err := c.Print()
		assert.NilError(t, err)
		golden.Assert(t, string(data), "../../../examples/"+tt.file)
		parsed, err := fleet.Parse(golden.Get(t, "../../../examples/"+tt.file))
		assert.NilError(t, err)
		assert.Equal(t, len(parsed.Check()), 0)
		assert.DeepEqual(t, parsed, c)
	}
}

// Guards against a spread that puts so much of a pool into one rack or zone that the loss of the rack or zone makes
// the pool unavailable.
func TestAddSpread(t *testing.T) {
	for _, build := range []func() (*fleet.Configuration, error){examples.Addis, examples.BokkJarr} {
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
	type doc = fleet.Configuration
	long := strings.Repeat("a", fleet.MaxName+1)
	for _, tt := range []struct {
		change func(c *doc)
		// want holds the start of each fault, one per line.
		want string
	}{
		{func(c *doc) { c.Instances[0].Connections = c.Processes }, ""},
		{func(c *doc) { c.Format = 2 }, "format: must be 1"},
		{func(c *doc) { c.Processes = 0 }, "processes: must be between 1"},
		{func(c *doc) { c.AvailabilityZones[0].Region = "" }, "availability-zones[0].region: must not be empty"},
		{func(c *doc) { c.Teams[1].Name = "Bars" }, "teams[1].name: must be kebab case"},
		{func(c *doc) { c.Queues[1].Name = "a-" }, "queues[1].name: must be kebab case"},
		{func(c *doc) { c.Queues[1].Name = "a--b" }, "queues[1].name: must be kebab case"},
		{func(c *doc) { c.Waves[0].Name = long }, "waves[0].name: must be kebab case"},
		{func(c *doc) { c.AvailabilityZones = append(c.AvailabilityZones, c.AvailabilityZones[0]) },
			`availability-zones[3].name: must be unique, "jarr-1" is also the name of availability-zones[0]`},
		{func(c *doc) { c.Pools = append(c.Pools, c.Pools[0]) }, "pools[6].name: must be unique"},
		{func(c *doc) { c.Instances[3].Name = c.Instances[0].Name }, "instances[3].name: must be unique"},
		{func(c *doc) { c.Teams = append(c.Teams, c.Teams[2]) }, "teams[6].name: must be unique"},
		{func(c *doc) { c.Queues[4].Name = c.Queues[3].Name }, "queues[4].name: must be unique"},
		{func(c *doc) { c.Waves = append(c.Waves, c.Waves[0]) }, "waves[1].name: must be unique"},
		{func(c *doc) { c.Pools[5].Spare = false }, "pools: must have one pool"},
		{func(c *doc) { c.Pools = append(c.Pools, fleet.Pool{Name: "more", Spare: true}) },
			"pools[6].spare: must be true for one pool only, pools[5]"},
		{func(c *doc) { c.Pools[5].Budget.MaxUnavailable = -1 },
			"pools[5].availability-budget.max-unavailable: must be between 0\nwaves[0].pools[5]: pool \"spare\" has no"},
		{func(c *doc) { c.Pools[0].Budget.MaxUnavailablePercent = 101 },
			"pools[0].availability-budget.max-unavailable-percent: must be between 0 and 100"},
		{func(c *doc) { c.Pools[0].MinInstances = -1 }, "pools[0].min-instances: must be between 0"},
		{func(c *doc) { c.Pools[0].MinInstances = 11 }, "pools[0].min-instances: must be at most the number of instances in the pool, 10"},
		{func(c *doc) { c.Instances[0].AvailabilityZone = "jarr-9" }, `instances[0].availability-zone: no availability zone is named "jarr-9"`},
		{func(c *doc) { c.Instances[0].AvailabilityZone = "" }, "instances[0].availability-zone: must name an availability zone"},
		{func(c *doc) { c.Instances[0].Rack = "" }, "instances[0].rack: must not be empty"},
		{func(c *doc) { c.Instances[0].Pool = "mending" }, `instances[0].pool: no pool is named "mending"`},
		{func(c *doc) { c.Instances[0].Processors = 0 }, "instances[0].processors: must be between 1"},
		{func(c *doc) { c.Instances[0].MemoryMiB = 0 }, "instances[0].memory-mib: must be between 1"},
		{func(c *doc) { c.Instances[0].Accelerators = -1 }, "instances[0].accelerators: must be between 0"},
		{func(c *doc) { c.Instances[0].Slots = 0 }, "instances[0].slots: must be between 1"},
		{func(c *doc) { c.Instances[0].Connections = 0 }, "instances[0].connections: must be between 1"},
		{func(c *doc) { c.Instances[0].Connections = 7 }, "instances[0].connections: must be at least the number of processes, 8"},
		{func(c *doc) { c.Teams[0].Share = 0 }, "teams[0].share: must be between 1"},
		{func(c *doc) { c.Teams[0].UpperLimit = -1 }, "teams[0].upper-limit: must be between 1"},
		{func(c *doc) { c.Queues[0].Pool = "mending" }, `queues[0].pool: no pool is named "mending"`},
		{func(c *doc) { c.Queues[0].Pool = "spare" }, "queues[0].pool: must not be the spare pool"},
		{func(c *doc) { c.Queues[5].OpenTeam = "" }, "queues[5].open-team: must name a team"},
		{func(c *doc) { c.Queues[5].OpenTeam = "bars" }, `queues[5].open-team: no team is named "bars"`},
		{func(c *doc) { c.Queues[0].OpenTeam = "cafes" }, "queues[0].open-team: must be left out"},
		{func(c *doc) { c.Queues[0].Teams = []string{"cafes", "bars", "cafes"} },
			"queues[0].teams[1]: no team is named \"bars\"\nqueues[0].teams[2]: \"cafes\" is listed twice"},
		{func(c *doc) { c.Queues[0].MaxRun = 0 }, "queues[0].max-run: must be more than 0s"},
		{func(c *doc) { c.Queues[0].MaxRun = math.MaxInt64 }, "queues[0].max-run: must be more than 0s and at most 168h"},
		{func(c *doc) { c.Queues[0].MaxWaiting = 0 }, "queues[0].max-waiting: must be between 1"},
		{func(c *doc) { c.Queues[0].MaxWait = 0 }, "queues[0].max-wait: must be more than 0s"},
		{func(c *doc) { c.Queues[0].MaxWait = fleet.Duration(time.Hour) },
			"queues[0].max-wait: must be more than 0s and at most 30m0s, is 1h0m0s"},
		{func(c *doc) { c.Queues[0].Urgent = true }, "queues[0].max-wait: must be at most 3.3s on an urgent queue"},
		{func(c *doc) { c.Waves[0].Pools = nil }, "waves[0].pools: must name at least one pool"},
		{func(c *doc) { c.Waves[0].Pools = []string{"mending"} }, `waves[0].pools[0]: no pool is named "mending"`},
		{func(c *doc) { c.Waves[0].Order = nil }, "waves[0].order: must name at least one availability zone"},
		{func(c *doc) { c.Waves[0].Order = []string{"jarr-1", "jarr-1"} }, `waves[0].order[1]: "jarr-1" is listed twice`},
		{func(c *doc) { c.Waves[0].MaxParallel = 0 }, "waves[0].max-parallel: must be between 1"},
		{func(c *doc) { c.Waves[0].DrainDeadline = -1 }, "waves[0].drain-deadline: must be more than 0s"},
		{func(c *doc) { c.Pools[1].Budget = fleet.Budget{} }, `waves[0].pools[1]: pool "washing" has no availability budget`},
		{func(c *doc) { c.Pools[1].Budget.MaxUnavailablePercent = 9 },
			`waves[0].pools[1]: the availability budget of pool "washing" allows none of its 10 instances`},
		{func(c *doc) { c.Weights = fleet.Weights{Buffer: -1, RollOut: math.NaN(), Moves: math.Inf(1)} },
			"weights.buffer: must\nweights.roll-out: must\nweights.moves: must"},
		{func(c *doc) { c.Waves = make([]fleet.Wave, fleet.MaxWaves+1) }, "waves: must have at most 1024 items, has 1025"},
	} {
		t.Run(tt.want, func(t *testing.T) {
			c, err := examples.BokkJarr()
			assert.NilError(t, err)
			tt.change(c)
			faults, want := c.Check(), strings.Split(tt.want, "\n")
			if tt.want == "" {
				want = nil
			}
			assert.Equal(t, len(faults), len(want), "%s", fleet.JoinFaults(faults))
			for i, f := range faults {
				assert.Assert(t, strings.HasPrefix(f.String(), want[i]), "%s", f)
			}
		})
	}
}

// Guards against a response to a faulty submission whose size grows with the document.
func TestCheckBoundsFaults(t *testing.T) {
	c := &fleet.Configuration{Instances: make([]fleet.Instance, fleet.MaxInstances)}
	faults := c.Check()
	assert.Equal(t, len(faults), fleet.MaxFaults)
	assert.Assert(t, strings.HasSuffix(faults[len(faults)-1].Message, "more faults are not listed"))
}

// Guards against changes that Diff overlooks, or lists in an order that varies between runs.
func TestDiff(t *testing.T) {
	a, err := examples.Addis()
	assert.NilError(t, err)
	b, err := examples.Addis()
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

// Guards against unknown or repeated fields and trailing data that Parse ignores, and against values that it misreads.
func TestParseRejects(t *testing.T) {
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
	})
}
