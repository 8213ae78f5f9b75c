package drafter

import (
	"time"

	"fuchsiabridge.example/common/configurer"
	"fuchsiabridge.example/common/enginecaller"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/heartbeater"
	"fuchsiabridge.example/entry/internal/planner"

	"github.com/cespare/xxhash/v2"
)

// An epoch is, from its highest bits: the milliseconds at which its driver took the
// draft, a hash of the driver, and the number of the driver's pipelines for the draft.
// The engines let the highest win, so two drivers never share one, and a driver that was
// superseded stays below its successor however often it recovers.
const (
	driverBits   = 12
	recoveryBits = 10
)

// Sizes of what is kept for recovery.
const (
	inputOverhead  = 24
	digestBytes    = 16
	kvOverheadSize = 64
)

// stage is one stage of a draft's pipeline and what its target knows of the draft.
type stage struct {
	planner.Stage
	// have counts the positions that the target's KV cache holds.
	have identifier.Position
	// inputs holds the stage's inputs from position base on; the first stage needs none.
	inputs [][]byte
	base   identifier.Position
	// kv is the last exported KV cache, if any.
	kv *enginecaller.KV
	// exporting says that an export of the KV cache is under way.
	exporting bool
	// stay says that the stage could not be moved off its leaving target.
	stay bool
}

func newStages(chosen []planner.Stage) []*stage {
	stages := make([]*stage, 0, len(chosen))
	for _, s := range chosen {
		stages = append(stages, &stage{Stage: s})
	}
	return stages
}

// takeEpoch makes the epoch of a new driver, above the last one that is known.
func takeEpoch(now time.Time, self heartbeater.Heartbeat, last identifier.Epoch) identifier.Epoch {
	term := max(uint64(now.UnixMilli()), uint64(last>>(driverBits+recoveryBits))+1)
	driver := xxhash.Sum64String(string(self.Node)) ^ uint64(self.Incarnation)
	driver &= 1<<driverBits - 1
	return identifier.Epoch(term<<(driverBits+recoveryBits) | driver<<recoveryBits)
}

// advanceEpoch makes the draft's next epoch.
func (dr *draft) advanceEpoch(now time.Time, self heartbeater.Heartbeat) {
	if dr.epoch == 0 {
		dr.epoch = takeEpoch(now, self, 0)
	}
	dr.epoch++
}

// bind makes stages the draft's pipeline.
func (d *Drafter) bind(dr *draft, stages []*stage) {
	d.countBound(dr, -1)
	for _, s := range dr.stages {
		d.release(dr, s)
	}
	dr.stages = stages
	d.countBound(dr, 1)
	for _, s := range stages {
		d.load[s.Target]++
	}
}

// countBound counts a draft in or out of those that have a pipeline.
func (d *Drafter) countBound(dr *draft, n int) {
	if len(dr.stages) > 0 {
		d.bound[min(max(0, dr.request.Priority), configurer.MostPriority)] += n
	}
}

// overtaken returns the part of the running drafts whose steps the engines run after those of the priority.
func (d *Drafter) overtaken(priority int) float64 {
	lower, all := 0, 0
	for p, n := range d.bound {
		all += n
		if p < priority {
			lower += n
		}
	}
	return float64(lower) / float64(max(1, all))
}

// release takes a stage out of the draft's accounts.
func (d *Drafter) release(dr *draft, s *stage) {
	if d.load[s.Target]--; d.load[s.Target] <= 0 {
		delete(d.load, s.Target)
	}
	d.forget(dr, s, s.base+identifier.Position(len(s.inputs)))
	d.keepKV(dr, s, nil)
}

// replace puts others in the place of the current stage; the first of them takes over its inputs.
func (d *Drafter) replace(dr *draft, others []*stage) {
	old := dr.stages[dr.stage]
	others[0].inputs, others[0].base, others[0].kv = old.inputs, old.base, old.kv
	old.inputs, old.kv = nil, nil
	d.release(dr, old)
	for _, s := range others {
		d.load[s.Target]++
	}
	stages := append([]*stage{}, dr.stages[:dr.stage]...)
	stages = append(stages, others...)
	dr.stages = append(stages, dr.stages[dr.stage+1:]...)
}

// knows says whether the stage's input for the position is kept.
func (s *stage) knows(p identifier.Position) bool {
	return s.base <= p && p < s.base+identifier.Position(len(s.inputs))
}

// input returns the input of the stage at index i for a position.
func (dr *draft) input(i int, p identifier.Position) ([]byte, bool) {
	if i > 0 {
		s := dr.stages[i]
		if !s.knows(p) {
			return nil, false
		}
		return s.inputs[p-s.base], true
	}
	if p == 0 {
		return []byte(dr.request.Prompt), true
	}
	return []byte(dr.tokens[p-1]), true
}

// keepInput keeps the input of a stage for the position after those it has.
func (d *Drafter) keepInput(dr *draft, s *stage, p identifier.Position, input []byte) {
	if len(s.inputs) == 0 && p >= s.have {
		s.base = p
	}
	if p != s.base+identifier.Position(len(s.inputs)) {
		return
	}
	s.inputs = append(s.inputs, input)
	d.account(dr, len(input)+inputOverhead)
}

// forget drops the stage's inputs before the position.
func (d *Drafter) forget(dr *draft, s *stage, before identifier.Position) {
	n := min(max(0, int(before-s.base)), len(s.inputs))
	for _, input := range s.inputs[:n] {
		d.account(dr, -len(input)-inputOverhead)
	}
	s.inputs = s.inputs[n:]
	s.base += identifier.Position(n)
	if len(s.inputs) == 0 {
		s.inputs = nil
	}
}

func (d *Drafter) keepKV(dr *draft, s *stage, kv *enginecaller.KV) {
	if s.kv != nil {
		d.account(dr, -kvBytes(s.kv))
	}
	s.kv = kv
	if kv != nil {
		d.account(dr, kvBytes(kv))
	}
}

func kvBytes(kv *enginecaller.KV) int { return kvOverheadSize + digestBytes*len(kv.Digests) }

func (d *Drafter) account(dr *draft, bytes int) {
	dr.bytes += bytes
	d.bytes += bytes
}

// limitHistory stops keeping a draft's history when the shard's is over its bound.
func (d *Drafter) limitHistory(dr *draft) {
	if d.bytes <= d.cfg.HistoryBytes {
		return
	}
	dr.unkept = true
	for _, s := range dr.stages {
		d.forget(dr, s, s.have)
		d.keepKV(dr, s, nil)
	}
}
