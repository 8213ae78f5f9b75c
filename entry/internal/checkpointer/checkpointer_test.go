package checkpointer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/checkpointer"
)

var now = time.Unix(1_800_000_000, 0)

func find(s *checkpointer.Store) checkpointer.Checkpoint {
	reply := s.Apply(now, checkpointer.Requested{Call: 1, Draft: "d"})[0].(messenger.Reply)
	return reply.Answer.(checkpointer.Checkpoint)
}

// TestCheckpointsMerge applies updates in order, outdated updates and updates after a gap.
func TestCheckpointsMerge(t *testing.T) {
	stages := []checkpointer.Stage{{Target: "engine-1"}}
	for _, tc := range []struct {
		name   string
		then   checkpointer.Checkpoint
		epoch  uint64
		tokens []string
	}{
		{"more tokens", checkpointer.Checkpoint{Epoch: 2, From: 2, Tokens: []string{"c"}}, 2, []string{"a", "b", "c"}},
		{"the same again", checkpointer.Checkpoint{Epoch: 2, From: 1, Tokens: []string{"b"}}, 2, []string{"a", "b"}},
		{"after a gap", checkpointer.Checkpoint{Epoch: 2, From: 5, Tokens: []string{"f"}}, 2, []string{"a", "b"}},
		{"an old epoch", checkpointer.Checkpoint{Epoch: 1, From: 0, Tokens: []string{"x"}}, 2, []string{"a", "b"}},
		{"a new driver", checkpointer.Checkpoint{Epoch: 3, From: 0, Tokens: []string{"a"}}, 3, []string{"a"}},
		{"an outdated end", checkpointer.Checkpoint{Epoch: 1, Ended: true}, 2, []string{"a", "b"}},
		{"the current end", checkpointer.Checkpoint{Epoch: 2, Ended: true}, 0, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			s := checkpointer.NewStore()
			first := checkpointer.Checkpoint{Draft: "d", Epoch: 2, Fingerprint: "f", Stages: stages, Tokens: []string{"a", "b"}}
			tc.then.Draft = "d"
			s.Apply(now, checkpointer.Received{Checkpoints: []checkpointer.Checkpoint{first, tc.then}})
			got := find(s)
			c.Assert(uint64(got.Epoch), qt.Equals, tc.epoch)
			c.Assert(got.Tokens, qt.DeepEquals, tc.tokens)
		})
	}
}

// TestCheckpointsExpire checks that a checkpoint is dropped after its retention period.
func TestCheckpointsExpire(t *testing.T) {
	c := qt.New(t)
	s := checkpointer.NewStore()
	s.Apply(now, checkpointer.Received{Checkpoints: []checkpointer.Checkpoint{{Draft: "d", Epoch: 2}}})
	s.Apply(now.Add(time.Minute), messenger.Tick{})
	c.Assert(uint64(find(s).Epoch), qt.Equals, uint64(2))
	s.Apply(now.Add(3*time.Minute), messenger.Tick{})
	c.Assert(uint64(find(s).Epoch), qt.Equals, uint64(0))
}
