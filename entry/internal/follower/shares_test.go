package follower_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/follower"
	"fuchsiabridge.example/entry/internal/joiner"
	"fuchsiabridge.example/entry/internal/sharer"
	"fuchsiabridge.example/platform/storecaller"
)

// oneReader is a group with one other node, which reads the store, and the link to it.
type oneReader struct {
	follower.Group
	asked chan sharer.Query
	share float64
}

func (o *oneReader) FindReaders(context.Context) (joiner.Readers, error) {
	reader := []storecaller.Member{{Node: "reader", Address: "reader"}}
	return joiner.Readers{Partitions: 1, All: reader, First: reader}, nil
}

func (o *oneReader) ReaderCount() int { return 1 }

func (o *oneReader) Call(ctx context.Context, _, _ string, params, result any) error {
	select {
	case o.asked <- params.(sharer.Query):
	case <-ctx.Done():
		return ctx.Err()
	}
	*result.(*sharer.Update) = sharer.Update{Sharer: "s", Share: o.share}
	return nil
}

// TestFollowerTellsDemandAndLearnsShare guards against a follower that gets no share of the capacity, or takes none of an older reader for
// a share.
func TestFollowerTellsDemandAndLearnsShare(t *testing.T) {
	c := qt.New(t)
	for _, share := range []float64{0.25, 0} {
		ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
		o := &oneReader{asked: make(chan sharer.Query), share: share}
		learned := make(chan float64, 1000)
		f := follower.NewFollower(nil, o, o, sharer.NewSharer(), follower.Config{
			Self: storecaller.Member{Node: "n", Address: "n"}, Demand: func() float64 { return 17 }, LearnShare: func(s float64) { learned <- s },
		}, func(messenger.Event) {})
		go f.FollowPeers(ctx)
		for range 3 {
			q := <-o.asked
			c.Check(q.Node, qt.Equals, identifier.NodeID("n"))
			c.Check(q.Demand, qt.Equals, 17.0)
		}
		stop()
		c.Check(len(learned) > 0, qt.Equals, share > 0)
	}
}
