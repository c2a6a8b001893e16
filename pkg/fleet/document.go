package fleet

import (
	"encoding/json"
	"fmt"
	"time"
)

// Format is the version of the document format that this package reads and prints.
const Format = 1

// Configuration is the whole document; Print writes the fields in the order of their declaration.
type Configuration struct {
	// Format is the version of the document format, always 1.
	Format int `json:"format"`
	// Processes is the number of hibiscusroute processes among which the connections of each instance are divided.
	Processes int `json:"processes"`
	// AvailabilityZones lists the failure domains above racks.
	AvailabilityZones []AvailabilityZone `json:"availability-zones"`
	// Pools lists the groups of instances; exactly one is the spare pool.
	Pools []Pool `json:"pools"`
	// Instances lists the machines that run endpoints and jobs.
	Instances []Instance `json:"instances"`
	// Teams lists the customers that submit work.
	Teams []Team `json:"teams"`
	// Queues lists the queues to which work is submitted.
	Queues []Queue `json:"queues"`
	// Waves lists the planned maintenance waves.
	Waves []Wave `json:"waves"`
	// Weights sets the relative cost of each measure in the policy.
	Weights Weights `json:"weights"`
}

// AvailabilityZone is a failure domain within a region.
type AvailabilityZone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// Pool is a group of instances that serve the same queues.
type Pool struct {
	Name string `json:"name"`
	// Spare is true for the one pool that holds the buffer of unused instances.
	Spare bool `json:"spare"`
	// Budget bounds how many instances may be unavailable at once, unplanned losses included.
	Budget Budget `json:"availability-budget"`
	// MinInstances is the number of instances below which no instance is moved out of the pool.
	MinInstances int `json:"min-instances"`
}

// Budget is an availability budget; the tighter of its two bounds applies, and zero means no such bound.
type Budget struct {
	// MaxUnavailable is the maximum number of unavailable instances.
	MaxUnavailable int `json:"max-unavailable"`
	// MaxUnavailablePercent is the maximum percentage of the pool's instances that may be unavailable; the resulting
	// number of instances is rounded down.
	MaxUnavailablePercent int `json:"max-unavailable-percent"`
}

// Allowed returns how many of size instances may be unavailable at once; bounded is false when neither bound is set.
func (b Budget) Allowed(size int) (n int, bounded bool) {
	n = size
	if b.MaxUnavailable > 0 {
		n, bounded = min(n, b.MaxUnavailable), true
	}
	if b.MaxUnavailablePercent > 0 {
		n, bounded = min(n, size*b.MaxUnavailablePercent/100), true
	}
	return n, bounded
}

// Instance is a machine that runs endpoints and jobs.
type Instance struct {
	Name             string `json:"name"`
	AvailabilityZone string `json:"availability-zone"`
	// Rack is unique within its availability zone.
	Rack string `json:"rack"`
	// Pool is the pool to which the operator assigns the instance.
	Pool string `json:"pool"`
	// Processors is the number of processor cores.
	Processors int `json:"processors"`
	// MemoryMiB is the amount of memory in mebibytes.
	MemoryMiB int `json:"memory-mib"`
	// Accelerators is the number of accelerator devices.
	Accelerators int `json:"accelerators"`
	// Slots is the number of requests that the instance runs at once.
	Slots int `json:"slots"`
	// Connections is the number of connections that the instance accepts from all processes together.
	Connections int `json:"connections"`
}

// Team is a customer that submits work.
type Team struct {
	Name string `json:"name"`
	// Share is the team's weight when the fleet is fully occupied.
	Share int `json:"share"`
	// UpperLimit is the number of the team's requests and jobs that may run at once across the whole fleet.
	UpperLimit int `json:"upper-limit"`
}

// Queue accepts requests and jobs for one pool.
type Queue struct {
	Name string `json:"name"`
	Pool string `json:"pool"`
	// Open is true when work is accepted without a key.
	Open bool `json:"open"`
	// OpenTeam is the team to which work without a key is charged; it is set exactly when the queue is open.
	OpenTeam string `json:"open-team,omitempty"`
	// Teams lists the teams whose work is accepted; an empty list accepts all teams.
	Teams []string `json:"teams"`
	// MaxRun bounds the time from the first byte sent to the end of the response.
	MaxRun Duration `json:"max-run"`
	// MaxWaiting bounds the number of requests that wait in one process.
	MaxWaiting int `json:"max-waiting"`
	// MaxWait bounds the time that a request waits.
	MaxWait Duration `json:"max-wait"`
	// Urgent is true when the work of the queue goes before that of other queues and must start within 3.3 s.
	Urgent bool `json:"urgent"`
}

// Wave is a planned maintenance of the instances of some pools.
type Wave struct {
	Name string `json:"name"`
	// Pools lists the pools whose instances are rebooted.
	Pools []string `json:"pools"`
	// Order lists the availability zones in the order in which they are maintained; zones left out are not maintained.
	Order []string `json:"order"`
	// MaxParallel bounds how many instances are stopped at once over all pools of the wave.
	MaxParallel int `json:"max-parallel"`
	// DrainDeadline is the time after which a drain waits for the operator's decision.
	DrainDeadline Duration `json:"drain-deadline"`
}

// Weights sets the cost of each measure in the policy; only their ratios matter, and all zero means equal weights.
type Weights struct {
	Buffer  float64 `json:"buffer"`
	RollOut float64 `json:"roll-out"`
	Moves   float64 `json:"moves"`
	Share   float64 `json:"share"`
}

// Duration is a time span that prints in the form of Go durations, such as "30s".
type Duration time.Duration

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalJSON prints the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// UnmarshalJSON parses the duration from a string.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var s string
	if err := json.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("duration must be a string such as \"30s\": %w", err)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return fmt.Errorf("parse duration: %w", err)
	}
	*d = Duration(v)
	return nil
}
