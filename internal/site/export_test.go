package site

import "context"

// TransferLeadership hands the leadership to another voter if this process leads.
func (c *Control) TransferLeadership(ctx context.Context) error {
	return c.voter.TransferLeadership(ctx)
}
