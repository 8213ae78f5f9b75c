package executor

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/tailer"
	"fuchsiabridge.example/entry/internal/tracer"
)

const (
	pullMethod  = "pull_records"
	pullTimeout = 2 * time.Second
)

// pullParams are the parameters of pullMethod.
type pullParams struct {
	From identifier.Offset `json:"from"`
}

// pullRecords requests from a peer the log records that this node lacks.
func (x *Executor) pullRecords(e tailer.PullRecords) {
	ctx, cancel := context.WithTimeout(x.ctx, pullTimeout)
	defer cancel()
	_, end := tracer.Start("", "peer.pull_records", "address", e.Address)
	var answer tailer.PullAnswer
	err := x.peers.Call(ctx, e.Address, pullMethod, pullParams{From: e.From}, &answer)
	end(err)
	if err != nil {
		x.Submit(tailer.PullFailed{Address: e.Address})
		return
	}
	x.Submit(tailer.RecordsPulled{Address: e.Address, Answer: answer})
}

// handlePullRecords returns the log records that the calling peer lacks.
func (x *Executor) handlePullRecords(ctx context.Context, params json.RawMessage) (any, error) {
	var p pullParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, errors.Wrap(err, "decoding a pull request")
	}
	call, answers := x.Call(1, func(id identifier.CallID) messenger.Event { return tailer.PullRequested{Call: id, From: p.From} })
	defer x.Close(call)
	select {
	case answer := <-answers:
		return answer, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(pullTimeout):
		return nil, errors.New("the reducer did not answer within the pull timeout")
	}
}
