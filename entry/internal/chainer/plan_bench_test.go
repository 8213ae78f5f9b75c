package chainer_test

import (
	"fmt"
	"testing"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/chainer"
)

// BenchmarkPlan measures planning for fleets in which each target holds a tenth of the layers.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{40, 100, 200, 400, 3000, 12000} {
		var holders []chainer.Holder
		for i := range n {
			from := identifier.Layer(i * 4 % layers)
			holders = append(holders, holder(fmt.Sprintf("t%d", i), identifier.DataCentre(fmt.Sprint(i%3)), from, min(layers, from+4)))
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				chainer.NewPlanner(engine(), holders).Plan(8)
			}
		})
	}
}
