package pool

// InstanceReport is the latest report of the platform on an instance.
type InstanceReport struct {
	Instance string
	// Healthy is false when the platform can't reach the instance; the leases of its tasks have then expired.
	Healthy bool
	// Epoch is that of the platform's last drain, reboot or resume call for the instance.
	Epoch uint64
	// Drained is true once the platform finished the drain that it was asked for with Epoch.
	Drained bool
	// Booted is true once the instance came back from the reboot that was asked for with Epoch.
	Booted bool
}

// EventName returns the name of the event.
func (InstanceReport) EventName() string { return "instance-report" }

// InstanceReports is a group of reports.
type InstanceReports []InstanceReport

// EventName returns the name of the event.
func (InstanceReports) EventName() string { return "instance-reports" }

// DrainInstance asks the platform to keep new tasks off an instance and to report when none is left.
type DrainInstance struct {
	Instance string
	Epoch    uint64
}

// ActionName returns the name of the action.
func (DrainInstance) ActionName() string { return "drain-instance" }

// RebootInstance asks the platform to reboot an instance, once for each epoch.
type RebootInstance struct {
	Instance string
	Epoch    uint64
}

// ActionName returns the name of the action.
func (RebootInstance) ActionName() string { return "reboot-instance" }

// ResumeInstance asks the platform to allow tasks on an instance again; earlier drains and reboots are fenced off.
type ResumeInstance struct {
	Instance string
	Epoch    uint64
}

// ActionName returns the name of the action.
func (ResumeInstance) ActionName() string { return "resume-instance" }
