package workestimator_test

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/workestimator"
)

var typical = workestimator.Typical{Prompt: 770, Answer: 180}

// TestHintsAreCorrectedByRoute guards against taking hints as they are: where answers are twice as long as hinted, so are estimates, and
// another route is not affected.
func TestHintsAreCorrectedByRoute(t *testing.T) {
	c := qt.New(t)
	e := workestimator.NewEstimator()
	rng := rand.New(rand.NewPCG(1, 2))
	for range 400 {
		hint := 50 + rng.Int64N(150)
		answer := float64(2*hint) * math.Exp(0.5*rng.NormFloat64())
		e.Observe("a", workestimator.Size{Prompt: 500, MaxAnswer: 2000, Hint: workestimator.Tokens(hint)}, workestimator.Tokens(answer))
	}
	w := e.Estimate("a", workestimator.Size{Prompt: 500, MaxAnswer: 2000, Hint: 100}, typical)
	c.Assert(w.Answer > 150 && w.Answer < 270, qt.IsTrue, qt.Commentf("%d tokens", w.Answer))
	c.Assert(w.Memory(), qt.Equals, 500+w.Answer)
	c.Assert(e.Estimate("b", workestimator.Size{Prompt: 500, MaxAnswer: 2000, Hint: 100}, typical).Answer, qt.Equals, workestimator.Tokens(100))
}

// TestFalseClaimsChangeLittle guards against callers that always claim the least or the most: their estimates stay near the mean answer.
func TestFalseClaimsChangeLittle(t *testing.T) {
	c := qt.New(t)
	for _, claim := range []workestimator.Tokens{1, 1_000_000, math.MaxInt64, -7, 0} {
		e := workestimator.NewEstimator()
		size := workestimator.Size{Prompt: claim, MaxAnswer: claim, Hint: claim}
		for range 200 {
			e.Observe("a", size, 180)
		}
		size.MaxAnswer = 0
		w := e.Estimate("a", size, typical)
		c.Check(w.Answer >= 45 && w.Answer <= 720, qt.IsTrue, qt.Commentf("claim %d: %d tokens", claim, w.Answer))
		c.Check(w.Prompt > 0 && w.Prompt <= 1_000_000, qt.IsTrue, qt.Commentf("claim %d: prompt of %d tokens", claim, w.Prompt))
	}
}

// TestRequestsWithoutSizeAreTypical checks what is assumed of a request that says nothing, and that no answer is longer than allowed.
func TestRequestsWithoutSizeAreTypical(t *testing.T) {
	c := qt.New(t)
	e := workestimator.NewEstimator()
	c.Assert(e.Estimate("a", workestimator.Size{}, typical), qt.Equals, workestimator.Work{Prompt: 770, Answer: 180})
	c.Assert(e.Estimate("a", workestimator.Size{MaxAnswer: 20}, typical).Answer, qt.Equals, workestimator.Tokens(20))
}

// TestManyRoutesStayBounded guards against memory that grows with each route that was ever used.
func TestManyRoutesStayBounded(t *testing.T) {
	c := qt.New(t)
	e := workestimator.NewEstimator()
	for i := range 5000 {
		e.Observe(identifier.RouteID(strconv.Itoa(i)), workestimator.Size{}, 100)
	}
	c.Assert(e.RouteCount(), qt.Equals, 2048)
}
