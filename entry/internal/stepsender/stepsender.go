// Package stepsender sends steps to engines; a step runs one stage of a draft's pipeline for one
// position. Steps that wait for the same engine are sent in one call.
package stepsender

import (
	"context"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"fuchsiabridge.example/common/enginecaller"
	"fuchsiabridge.example/common/httpcaller"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/counter"
	"fuchsiabridge.example/entry/internal/drafter"
	"fuchsiabridge.example/entry/internal/rerouter"
	"fuchsiabridge.example/entry/internal/tracer"
)

const (
	// maxBatch limits the steps of one call.
	maxBatch = 32
	// maxCallsPerEngine limits the concurrent calls to one engine.
	maxCallsPerEngine = 8
)

// EngineCaller calls the engine at an address. Steps runs a batch of steps, on a new
// connection if newConn is set.
type EngineCaller interface {
	Steps(ctx context.Context, address string, steps []enginecaller.Step, newConn bool) ([]enginecaller.StepResult, error)
	Status(ctx context.Context, address string) (enginecaller.Status, error)
}

type engineQueue struct {
	pending   []drafter.SendStep
	openCalls int
}

// Sender sends steps through a pool of workers and submits their results as events.
type Sender struct {
	ctx    context.Context
	engine EngineCaller
	pool   pond.Pool
	submit func(messenger.Event)

	mu     sync.Mutex
	queues map[string]*engineQueue
}

// NewSender returns a Sender that passes its results to submit.
func NewSender(ctx context.Context, engine EngineCaller, pool pond.Pool, submit func(messenger.Event)) *Sender {
	return &Sender{ctx: ctx, engine: engine, pool: pool, submit: submit, queues: map[string]*engineQueue{}}
}

// Send sends the step with the next call to its engine. A step on a new connection, or one that
// has earlier steps, is sent in a call of its own.
func (s *Sender) Send(step drafter.SendStep) {
	if step.NewConn || len(step.EarlierSteps) > 0 {
		s.sendAlone(step)
		return
	}
	s.mu.Lock()
	q, ok := s.queues[step.Address]
	if !ok {
		q = &engineQueue{}
		s.queues[step.Address] = q
	}
	q.pending = append(q.pending, step)
	s.mu.Unlock()
	s.dispatch(step.Address)
}

// sendAlone sends a step in a call of its own.
func (s *Sender) sendAlone(step drafter.SendStep) {
	batch := []drafter.SendStep{step}
	if _, ok := s.pool.TrySubmit(func() { s.callEngine(step.Address, batch) }); !ok {
		counter.Shed.Add(1)
		s.reportFailed(batch, failure{})
	}
}

// dispatch sends pending steps to the engine, if it has fewer open calls than allowed, and more after
// that call. If no worker is free, the steps are reported as failed.
func (s *Sender) dispatch(address string) {
	batch := s.takeBatch(address)
	if len(batch) == 0 {
		return
	}
	_, ok := s.pool.TrySubmit(func() {
		s.callEngine(address, batch)
		s.finishCall(address)
		s.dispatch(address)
	})
	if ok {
		return
	}
	counter.Shed.Add(1)
	s.finishCall(address)
	s.reportFailed(batch, failure{})
}

func (s *Sender) takeBatch(address string) []drafter.SendStep {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queues[address]
	if len(q.pending) == 0 || q.openCalls >= maxCallsPerEngine {
		return nil
	}
	n := min(len(q.pending), maxBatch)
	batch := q.pending[:n:n]
	q.pending = q.pending[n:]
	q.openCalls++
	return batch
}

func (s *Sender) finishCall(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if q, ok := s.queues[address]; ok && q.openCalls > 0 {
		q.openCalls--
	}
}

func (s *Sender) callEngine(address string, batch []drafter.SendStep) {
	var deadline time.Time
	steps := make([]enginecaller.Step, 0, len(batch))
	endSpans := make([]func(error), 0, len(batch))
	for _, step := range batch {
		_, end := tracer.Start(step.Traceparent, "engine.step", "target", string(step.Target))
		steps = append(append(steps, step.EarlierSteps...), step.Step)
		endSpans = append(endSpans, end)
		if step.Deadline.After(deadline) {
			deadline = step.Deadline
		}
	}
	ctx, cancel := context.WithDeadline(s.ctx, deadline)
	defer cancel()
	var probeResult <-chan bool
	if batch[0].NewConn {
		probeResult = s.probe(ctx, address)
	}
	results, err := s.engine.Steps(ctx, address, steps, batch[0].NewConn)
	for _, end := range endSpans {
		end(err)
	}
	counter.Steps.Add(int64(len(steps)))
	if err != nil || len(results) != len(steps) {
		s.reportFailed(batch, classifyFailure(err, probeResult))
		return
	}
	for _, step := range batch {
		n := len(step.EarlierSteps)
		s.submit(drafter.StepDone{Target: step.Target, EarlierResults: results[:n:n], Result: results[n]})
		results = results[n+1:]
	}
}

// probe asks the engine for its status while a step waits on a new connection. The channel receives
// whether the engine answered.
func (s *Sender) probe(ctx context.Context, address string) <-chan bool {
	answered := make(chan bool, 1)
	_, ok := s.pool.TrySubmit(func() {
		_, err := s.engine.Status(ctx, address)
		answered <- err == nil || errors.Is(err, rerouter.ErrPathLost)
	})
	if !ok {
		answered <- false
	}
	return answered
}

// failure describes what a failed call shows about its engine.
type failure struct {
	status int
	alive  bool
}

// classifyFailure distinguishes a refusal from a call without a response. If the call connected but
// timed out, an engine that answered the probe is alive. While this node reaches no engine, each counts as alive.
func classifyFailure(err error, probeResult <-chan bool) failure {
	var status *httpcaller.StatusError
	if errors.As(err, &status) {
		return failure{status: status.Status}
	}
	if errors.Is(err, rerouter.ErrPathLost) {
		return failure{alive: true}
	}
	if probeResult == nil || !errors.Is(err, fasthttp.ErrTimeout) {
		return failure{}
	}
	return failure{alive: <-probeResult}
}

func (s *Sender) reportFailed(batch []drafter.SendStep, f failure) {
	counter.StepsLost.Add(int64(len(batch)))
	for _, step := range batch {
		s.submit(drafter.StepFailed{
			Target: step.Target, Name: step.Step.StepName, NewConn: step.NewConn, Status: f.status, Alive: f.alive,
		})
	}
}
