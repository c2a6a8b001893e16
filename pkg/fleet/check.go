package fleet

// Check returns every fault of the document, in document order; none means that it can be submitted.
func (c *Configuration) Check() []Fault {
	var faults []Fault
	if c.Format != Format {
		faults = append(faults, Fault{Path: "format", Message: "must be 1"})
	}
	return faults
}
