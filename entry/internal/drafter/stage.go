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

// An epoch holds, from its highest bits: the time in milliseconds when its driver took the draft, a
// hash of the driver, and a count of the epochs that the driver used for the draft. Engines refuse
// steps below the highest epoch they have seen. The hash makes it unlikely that two drivers use the
// same epoch, and the time keeps a superseded driver below its successor however often it recovers.
const (
	driverBits   = 12
	recoveryBits = 10
)

// Estimated sizes, in bytes, of the data that is kept for recovery.
const (
	inputOverheadBytes = 24
	kvDigestBytes      = 16
	kvOverheadBytes    = 64
)

// stage is one stage of a draft's pipeline and the state of its target for the draft.
type stage struct {
	planner.Stage
	// cachedPositions counts the positions in the target's KV cache.
	cachedPositions identifier.Position
	// inputs holds the stage's inputs from position inputsFrom on. The first stage needs none.
	inputs     [][]byte
	inputsFrom identifier.Position
	// kv is the last exported KV cache, if any.
	kv *enginecaller.KV
	// exporting means that an export of the KV cache is in progress.
	exporting bool
	// cannotMove means that an attempt to move the stage off its leaving target failed.
	cannotMove bool
}

func newStages(chosen []planner.Stage) []*stage {
	stages := make([]*stage, 0, len(chosen))
	for _, s := range chosen {
		stages = append(stages, &stage{Stage: s})
	}
	return stages
}

// newEpoch returns the epoch of a new driver, above the last known one.
func newEpoch(now time.Time, self heartbeater.Heartbeat, last identifier.Epoch) identifier.Epoch {
	term := max(uint64(now.UnixMilli()), uint64(last>>(driverBits+recoveryBits))+1)
	driver := xxhash.Sum64String(string(self.Node)) ^ uint64(self.Incarnation)
	driver &= 1<<driverBits - 1
	return identifier.Epoch(term<<(driverBits+recoveryBits) | driver<<recoveryBits)
}

// advanceEpoch moves the draft to its next epoch.
func (dr *draft) advanceEpoch(now time.Time, self heartbeater.Heartbeat) {
	if dr.epoch == 0 {
		dr.epoch = newEpoch(now, self, 0)
	}
	dr.epoch++
}

// bind makes stages the draft's pipeline.
func (d *Drafter) bind(dr *draft, stages []*stage) {
	d.countBound(dr, -1)
	for _, s := range dr.stages {
		d.releaseStage(dr, s)
	}
	dr.stages = stages
	d.countBound(dr, 1)
	for _, s := range stages {
		d.load[s.Target]++
	}
}

// countBound adds n to the drafts that have a pipeline, if this draft has one.
func (d *Drafter) countBound(dr *draft, n int) {
	if len(dr.stages) > 0 {
		d.boundByPriority[min(max(0, dr.request.Priority), configurer.MaxPriority)] += n
	}
}

// lowerPriorityShare returns the fraction of the drafts with a pipeline whose priority is below the
// given one. Engines run the steps of those drafts later.
func (d *Drafter) lowerPriorityShare(priority int) float64 {
	lower, total := 0, 0
	for p, n := range d.boundByPriority {
		total += n
		if p < priority {
			lower += n
		}
	}
	return float64(lower) / float64(max(1, total))
}

// releaseStage removes a stage from the target loads and its data from the history size.
func (d *Drafter) releaseStage(dr *draft, s *stage) {
	if d.load[s.Target]--; d.load[s.Target] <= 0 {
		delete(d.load, s.Target)
	}
	d.dropInputs(dr, s, s.inputsFrom+identifier.Position(len(s.inputs)))
	d.setKV(dr, s, nil)
}

// replaceStage replaces the current stage with replacements. The first of them inherits its inputs
// and KV cache.
func (d *Drafter) replaceStage(dr *draft, replacements []*stage) {
	old := dr.stages[dr.stageIndex]
	replacements[0].inputs, replacements[0].inputsFrom, replacements[0].kv = old.inputs, old.inputsFrom, old.kv
	old.inputs, old.kv = nil, nil
	d.releaseStage(dr, old)
	for _, s := range replacements {
		d.load[s.Target]++
	}
	stages := append([]*stage{}, dr.stages[:dr.stageIndex]...)
	stages = append(stages, replacements...)
	dr.stages = append(stages, dr.stages[dr.stageIndex+1:]...)
}

// hasInput reports whether the stage's input for the position is kept.
func (s *stage) hasInput(p identifier.Position) bool {
	return s.inputsFrom <= p && p < s.inputsFrom+identifier.Position(len(s.inputs))
}

// input returns the input of the stage at index i for a position.
func (dr *draft) input(i int, p identifier.Position) ([]byte, bool) {
	if i > 0 {
		s := dr.stages[i]
		if !s.hasInput(p) {
			return nil, false
		}
		return s.inputs[p-s.inputsFrom], true
	}
	if p == 0 {
		return []byte(dr.request.Prompt), true
	}
	return []byte(dr.tokens[p-1]), true
}

// keepInput appends the stage's input for a position. One that does not directly follow the kept
// inputs is ignored.
func (d *Drafter) keepInput(dr *draft, s *stage, p identifier.Position, input []byte) {
	if len(s.inputs) == 0 && p >= s.cachedPositions {
		s.inputsFrom = p
	}
	if p != s.inputsFrom+identifier.Position(len(s.inputs)) {
		return
	}
	s.inputs = append(s.inputs, input)
	d.addHistoryBytes(dr, len(input)+inputOverheadBytes)
}

// dropInputs drops the stage's inputs before the position.
func (d *Drafter) dropInputs(dr *draft, s *stage, before identifier.Position) {
	n := min(max(0, int(before-s.inputsFrom)), len(s.inputs))
	for _, input := range s.inputs[:n] {
		d.addHistoryBytes(dr, -len(input)-inputOverheadBytes)
	}
	s.inputs = s.inputs[n:]
	s.inputsFrom += identifier.Position(n)
	if len(s.inputs) == 0 {
		s.inputs = nil
	}
}

func (d *Drafter) setKV(dr *draft, s *stage, kv *enginecaller.KV) {
	if s.kv != nil {
		d.addHistoryBytes(dr, -kvBytes(s.kv))
	}
	s.kv = kv
	if kv != nil {
		d.addHistoryBytes(dr, kvBytes(kv))
	}
}

func kvBytes(kv *enginecaller.KV) int { return kvOverheadBytes + kvDigestBytes*len(kv.Digests) }

func (d *Drafter) addHistoryBytes(dr *draft, bytes int) {
	dr.historyBytes += bytes
	d.historyBytes += bytes
}

// limitHistory stops keeping a draft's history when the shard exceeds HistoryBytes.
func (d *Drafter) limitHistory(dr *draft) {
	if d.historyBytes <= d.cfg.HistoryBytes {
		return
	}
	dr.historyDropped = true
	for _, s := range dr.stages {
		d.dropInputs(dr, s, s.cachedPositions)
		d.setKV(dr, s, nil)
	}
}
