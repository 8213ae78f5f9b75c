package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/fbload/internal/scheduler"
)

// TestDrawIsRepeatable checks that the same seed gives the same arrivals and another seed gives others, and
// that the rate and the accounts' shares are about as planned.
func TestDrawIsRepeatable(t *testing.T) {
	c := qt.New(t)
	accounts, err := scheduler.ParseAccounts("large=9,small=1")
	c.Assert(err, qt.IsNil)
	plan := scheduler.Plan{Seed: 7, Rate: 100, Length: 100 * time.Second, Mix: scheduler.Mixes()["teranga"], Accounts: accounts}
	first := scheduler.Draw(plan)
	c.Assert(scheduler.Draw(plan), qt.DeepEquals, first)
	plan.Seed = 8
	c.Assert(scheduler.Draw(plan)[0], qt.Not(qt.DeepEquals), first[0])
	c.Assert(len(first) > 9500 && len(first) < 10500, qt.IsTrue, qt.Commentf("%d arrivals", len(first)))
	small := 0
	for _, a := range first {
		if a.Account.Key == "small" {
			small++
		}
	}
	c.Assert(small > len(first)*8/100 && small < len(first)*12/100, qt.IsTrue, qt.Commentf("%d arrivals of the small account", small))
}

// TestSharesAddUp checks that the shares of each mix add up to 100 percent.
func TestSharesAddUp(t *testing.T) {
	for name, mix := range scheduler.Mixes() {
		sum := 0
		for _, class := range mix {
			sum += class.Share
		}
		qt.New(t).Assert(sum, qt.Equals, 100, qt.Commentf("mix %s", name))
	}
}
