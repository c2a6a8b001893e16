package site

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/peer"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

func heartbeat(id string) *workloadpb.Command {
	return &workloadpb.Command{Change: &workloadpb.Command_Report{
		Report: &workloadpb.Report{Worker: &workloadpb.Worker{Id: id}},
	}}
}

// Guards against a response that goes to another worker's heartbeat, and against a call of the leader for each of them.
func TestHeartbeatsOfManyWorkersShareCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls atomic.Int32
		b := &batcher{delay: heartbeatDelay, propose: func(_ context.Context, commands []kernel.Command, _ []uint64) ([]kernel.Result, bool, error) {
			calls.Add(1)
			results := make([]kernel.Result, len(commands))
			for i, c := range commands {
				m := &workloadpb.Command{}
				assert.NilError(t, proto.Unmarshal(c.Body, m))
				body, err := proto.Marshal(&workloadpb.Response{State: m.GetReport().Worker.Id})
				results[i] = kernel.Result{Body: body, Err: err}
			}
			return results, false, nil
		}}
		var group sync.WaitGroup
		for i := range 100 {
			group.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				id := fmt.Sprint("w", i)
				r, err := b.execute(t.Context(), heartbeat(id))
				assert.Check(t, err)
				assert.Check(t, r.GetState() == id)
			})
		}
		group.Wait()
		assert.Assert(t, calls.Load() <= 5, "%d calls for 100 heartbeats in 100 ms", calls.Load())
	})
}

// Guards against a heartbeat that counts as received although the leader didn't get it, so that its worker calls no other
// process.
func TestHeartbeatsOfFailedCallFail(t *testing.T) {
	for _, tt := range []struct {
		name   string
		err    error
		result kernel.Result
		silent bool
	}{
		{"no leader", peer.ErrUnreachable.New("no leader"), kernel.Result{}, false},
		{"invalid", nil, kernel.Result{Err: kernel.ErrInvalid.New("empty")}, false},
		{"malformed response", nil, kernel.Result{Body: []byte{0xff}}, false},
		{"no answer", nil, kernel.Result{}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &batcher{delay: heartbeatDelay, propose: func(ctx context.Context, _ []kernel.Command, _ []uint64) ([]kernel.Result, bool, error) {
					if tt.silent {
						<-ctx.Done()
						return nil, true, ctx.Err()
					}
					return []kernel.Result{tt.result}, false, tt.err
				}}
				begin := time.Now()
				_, err := b.execute(t.Context(), heartbeat("w"))
				assert.Assert(t, err != nil)
				assert.Assert(t, time.Since(begin) < time.Second, "the worker has given up before")
			})
		})
	}
}

// Guards against a heartbeat that fails because another one of its batch waits for the log, and against a command that waits
// for it and counts as never executed.
func TestCommandsThatWaitForTheLogAreSentAgain(t *testing.T) {
	for _, tt := range []struct {
		name string
		err  error // of the second call
	}{
		{"committed", nil},
		{"no leader any more", peer.ErrUnreachable.New("no leader")},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var sent [][]kernel.Command
				b := &batcher{delay: heartbeatDelay, propose: func(_ context.Context, list []kernel.Command, _ []uint64) ([]kernel.Result, bool, error) {
					sent = append(sent, list)
					if len(sent) > 1 {
						return make([]kernel.Result, len(list)), false, tt.err
					}
					results := make([]kernel.Result, len(list))
					results[0].Err = peer.ErrInterrupted.New("the command waits for the log")
					return results, false, nil
				}}
				commands := []kernel.Command{{Plugin: "a", Body: []byte("waits")}, {Plugin: "a", Body: []byte("done")}}
				errs, repeated := make([]error, 2), make([]bool, 2)
				var group sync.WaitGroup
				for i, c := range commands {
					group.Go(func() { _, repeated[i], errs[i] = b.executeCommand(t.Context(), c, 0) })
					synctest.Wait()
				}
				group.Wait()
				assert.DeepEqual(t, sent, [][]kernel.Command{commands, commands[:1]})
				assert.DeepEqual(t, repeated, []bool{true, false})
				assert.NilError(t, errs[1])
				assert.Equal(t, errs[0] == nil, tt.err == nil, "%v", errs[0])
				assert.Assert(t, !errorx.IsOfType(errs[0], peer.ErrUnreachable), "%v", errs[0])
			})
		})
	}
}
