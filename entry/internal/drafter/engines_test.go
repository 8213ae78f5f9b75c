package drafter_test

import (
	"slices"
	"time"

	"fuchsiabridge.example/common/enginecaller"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/layerhasher"
	"fuchsiabridge.example/common/platformcaller"
	"fuchsiabridge.example/entry/internal/drafter"
	"fuchsiabridge.example/entry/internal/watcher"
)

const model = "atlas"

// engineDraft is the state an engine holds for one draft.
type engineDraft struct {
	epoch     identifier.Epoch
	canceled  bool
	positions identifier.Position
	cache     layerhasher.Cache
	results   []enginecaller.StepResult
}

// engine simulates an engine.
type engine struct {
	id         identifier.TargetID
	layers     identifier.LayerRange
	generation identifier.Generation
	alive      bool
	state      watcher.State
	drafts     map[identifier.DraftID]*engineDraft
}

func newEngine(id identifier.TargetID, from, to identifier.Layer) *engine {
	e := &engine{id: id, layers: identifier.LayerRange{From: from, To: to}, state: watcher.StateUp}
	e.load(e.layers)
	return e
}

// load makes the engine hold a layer range, as after a start. Its KV caches are lost.
func (e *engine) load(layers identifier.LayerRange) {
	e.layers, e.alive, e.state = layers, true, watcher.StateUp
	e.generation++
	e.drafts = map[identifier.DraftID]*engineDraft{}
}

func (e *engine) target() watcher.Target {
	return watcher.Target{
		ID: e.id, Role: platformcaller.RoleEngine, Address: string(e.id), State: e.state,
		Status: enginecaller.Status{
			Target: e.id, Model: model, Layers: e.layers, Generation: e.generation, LayerMicros: 200, BatchLimit: 32,
		},
	}
}

func (e *engine) draft(id identifier.DraftID) *engineDraft {
	if _, ok := e.drafts[id]; !ok {
		e.drafts[id] = &engineDraft{cache: layerhasher.Cache{}}
	}
	return e.drafts[id]
}

// run runs the steps of one call.
func (e *engine) run(s drafter.SendStep) drafter.StepDone {
	done := drafter.StepDone{Target: s.Target}
	for _, step := range s.EarlierSteps {
		done.EarlierResults = append(done.EarlierResults, e.step(step))
	}
	done.Result = e.step(s.Step)
	return done
}

func (e *engine) step(s enginecaller.Step) enginecaller.StepResult {
	refused := enginecaller.StepResult{StepName: s.StepName}
	if s.Generation != e.generation || !e.layers.Contains(s.Layers) {
		refused.Code = enginecaller.StepReloaded
		return refused
	}
	d := e.draft(s.Draft)
	if s.Epoch < d.epoch || (s.Epoch == d.epoch && d.canceled) {
		refused.Code, refused.Seen = enginecaller.StepSuperseded, d.epoch
		return refused
	}
	if s.Epoch > d.epoch {
		if s.Position == 0 || d.canceled {
			*d = engineDraft{cache: layerhasher.Cache{}}
		}
		d.epoch = s.Epoch
	}
	for _, r := range d.results {
		if r.Position == s.Position && r.Stage == s.Stage {
			r.StepName = s.StepName
			return r
		}
	}
	if s.Resume || s.Position != d.positions {
		refused.Code, refused.Have = enginecaller.StepKVMissing, d.positions
		return refused
	}
	r := enginecaller.StepResult{StepName: s.StepName, Code: enginecaller.StepOK}
	r.Output = layerhasher.Run(d.cache, s.Layers, s.Input)
	if s.Last {
		r.Token = layerhasher.Token(r.Output)
	}
	d.positions++
	d.results = append(d.results, r)
	return r
}

func (e *engine) cancel(c drafter.CancelDraft) {
	if d := e.draft(c.Draft); c.Epoch >= d.epoch {
		*d = engineDraft{epoch: c.Epoch, canceled: true, cache: layerhasher.Cache{}}
	}
}

func (e *engine) exportKV(x drafter.ExportKV) drafter.KVExported {
	out := drafter.KVExported{Target: x.Target, Draft: x.Draft, Epoch: x.Epoch}
	d, ok := e.drafts[x.Draft]
	if !e.alive || !ok || d.epoch != x.Epoch || d.canceled {
		out.Failed = true
		return out
	}
	out.KV = enginecaller.KV{Draft: x.Draft, Epoch: d.epoch, Positions: d.positions, Layers: e.layers, Digests: map[identifier.Layer]uint64{}}
	for l, digest := range d.cache {
		out.KV.Digests[l] = digest
	}
	return out
}

func (e *engine) importKV(m drafter.ImportKV) drafter.KVImported {
	out := drafter.KVImported{Target: m.Target, Draft: m.KV.Draft, Epoch: m.KV.Epoch}
	if !e.alive {
		out.Failed = true
		return out
	}
	d := e.draft(m.KV.Draft)
	if m.KV.Epoch < d.epoch || (m.KV.Epoch == d.epoch && d.canceled) {
		out.Failed = true
		return out
	}
	*d = engineDraft{epoch: m.KV.Epoch, positions: m.KV.Positions, cache: layerhasher.Cache{}}
	for l, digest := range m.KV.Digests {
		d.cache[l] = digest
	}
	return out
}

// engines holds all simulated engines, ordered by id.
type engines []*engine

func (es engines) at(id string) *engine {
	i := slices.IndexFunc(es, func(e *engine) bool { return string(e.id) == id })
	return es[i]
}

func (es engines) targetsChanged() watcher.TargetsChanged {
	var ev watcher.TargetsChanged
	for _, e := range es {
		ev.Targets = append(ev.Targets, e.target())
	}
	return ev
}

var start = time.Unix(1_800_000_000, 0)
