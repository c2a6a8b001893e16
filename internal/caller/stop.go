package caller

import (
	"context"
	"time"
)

// Stop fails the readiness check, still accepts work for the stop delay and then finishes running requests.
func (s *Server) Stop(ctx context.Context) error {
	s.stopping.Store(true)
	select {
	case <-time.After(s.cfg.StopDelay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
