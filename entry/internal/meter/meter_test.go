package meter_test

import (
	"encoding/json"
	"expvar"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/entry/internal/meter"
)

// TestMetricsByKindAndAccount checks counts and quantiles, and the limit on the number of accounts with a series.
func TestMetricsByKindAndAccount(t *testing.T) {
	c := qt.New(t)
	m := meter.NewMeter()
	m.Publish("test_requests")
	for i := range 100 {
		m.Add(meter.Sample{Kind: "streaming", Account: fmt.Sprintf("a%d", i), Status: 200, Took: time.Duration(i+1) * time.Millisecond, First: time.Millisecond})
	}
	var got struct {
		ByKind map[string]struct {
			ByStatus map[string]int64 `json:"by_status"`
			Took     map[string]int64 `json:"took_us"`
		} `json:"by_kind"`
		ByAccount map[string]any `json:"by_account"`
	}
	c.Assert(json.Unmarshal([]byte(expvar.Get("test_requests").String()), &got), qt.IsNil)
	c.Assert(got.ByKind["streaming"].ByStatus["200"], qt.Equals, int64(100))
	p50 := got.ByKind["streaming"].Took["p50"]
	c.Assert(p50 > 45_000 && p50 < 55_000, qt.IsTrue)
	c.Assert(len(got.ByAccount) <= 65, qt.IsTrue)
}
