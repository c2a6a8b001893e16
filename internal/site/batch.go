package site

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/peer"
	"github.com/hibiscusroute/hibiscusroute/internal/workload"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

const (
	// heartbeatDelay is how long a heartbeat waits for others of its batch. Workers wait for a second.
	heartbeatDelay = 25 * time.Millisecond
	// forwardDelay is how long a call that is forwarded for another process waits for others.
	forwardDelay = 8 * time.Millisecond
	// batchTimeout limits the call of the leader with a batch.
	batchTimeout = 900 * time.Millisecond
	// maxBatchCommands bounds a batch, far below the largest frame between processes.
	maxBatchCommands = 512
)

// batcher joins the commands of many callers into few calls of the leader, so that one that many workers send costs the
// leader little each.
type batcher struct {
	delay   time.Duration // how long a command waits for others
	propose func(ctx context.Context, commands []kernel.Command, maxTerms []uint64) (results []kernel.Result, repeated bool, err error)

	mu      sync.Mutex
	waiting []*batchedCommand
}

// batchedCommand is a command with the result that its caller waits for.
type batchedCommand struct {
	command  kernel.Command
	maxTerm  uint64 // see controlpb.ProposeRequest
	result   kernel.Result
	repeated bool // an earlier attempt may have been handled
	err      error
	done     chan struct{}
	ctx      context.Context // of the caller
}

// execute executes an idempotent command with others, and returns its response. After an error, the command may have been
// executed or may still be.
func (b *batcher) execute(ctx context.Context, m *workloadpb.Command) (*workloadpb.Response, error) {
	cmd, err := kernel.NewCommand(workload.Name, "", m)
	if err != nil {
		return nil, err
	}
	r, _, err := b.executeCommand(ctx, cmd, 0)
	if err != nil {
		return nil, err
	}
	if r.Err != nil {
		return nil, r.Err
	}
	return decodeResponse(r)
}

// executeCommand executes an idempotent command with others. If repeated is set, an earlier attempt than that of the result may
// have been handled. Unless the error is a peer.ErrUnreachable, the command may have been executed or may still be.
func (b *batcher) executeCommand(
	ctx context.Context, cmd kernel.Command, maxTerm uint64,
) (r kernel.Result, repeated bool, err error) {
	c := &batchedCommand{command: cmd, maxTerm: maxTerm, done: make(chan struct{}), ctx: ctx}
	b.add(c)
	select {
	case <-c.done:
		return c.result, c.repeated, c.err
	case <-ctx.Done():
		return kernel.Result{}, true, peer.ErrInterrupted.Wrap(ctx.Err(), "wait for the batch")
	}
}

// add adds a command to the batch that waits. The first one begins the batch, and a full one is sent at once.
func (b *batcher) add(c *batchedCommand) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = append(b.waiting, c)
	switch len(b.waiting) {
	case 1:
		time.AfterFunc(b.delay, func() { b.send(b.take()) })
	case maxBatchCommands:
		go b.send(b.waiting)
		b.waiting = nil
	}
}

func (b *batcher) take() []*batchedCommand {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.waiting
	b.waiting = nil
	return list
}

// send sends a batch, without the commands whose callers have gone. Those that wait for the log join the next batch.
func (b *batcher) send(list []*batchedCommand) {
	list = slices.DeleteFunc(list, func(c *batchedCommand) bool { return c.ctx.Err() != nil })
	if len(list) == 0 {
		return
	}
	commands, maxTerms := make([]kernel.Command, len(list)), make([]uint64, len(list))
	for i, c := range list {
		commands[i], maxTerms[i] = c.command, c.maxTerm
	}
	ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
	defer cancel()
	results, repeated, err := b.propose(ctx, commands, maxTerms)
	for i, c := range list {
		if err == nil && errorx.IsOfType(results[i].Err, peer.ErrInterrupted) {
			c.repeated = true
			b.add(c)
			continue
		}
		switch {
		case err == nil:
			c.result, c.repeated = results[i], c.repeated || repeated
		case c.repeated:
			c.err = peer.ErrInterrupted.Wrap(err, "send a command again that waits for the log")
		default:
			c.err = err
		}
		close(c.done)
	}
}
