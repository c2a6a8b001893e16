package site

import "context"

// TransferLeadership hands the leadership to another voter if this process leads.
func (c *Control) TransferLeadership(ctx context.Context) error {
	return c.voter.TransferLeadership(ctx)
}

// IsVoter reports whether this process is a voter as far as it knows.
func (c *Control) IsVoter(ctx context.Context) bool {
	status, err := c.voter.Status(ctx)
	if err != nil {
		return false
	}
	for _, m := range status.Voters {
		if m.Member.Id == status.Identity {
			return m.Member.Voter
		}
	}
	return false
}
