// Package stepsender sends steps to engines; those for the same engine that wait
// together travel together.
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
	"fuchsiabridge.example/entry/internal/tracer"
)

const (
	// batchLimit bounds the steps of one call.
	batchLimit = 32
	// callsPerEngine bounds the calls that are open to one engine.
	callsPerEngine = 8
)

// EngineCaller runs a batch of steps at the engine at address.
type EngineCaller interface {
	Steps(ctx context.Context, address string, steps []enginecaller.Step, fresh bool) ([]enginecaller.StepResult, error)
	Status(ctx context.Context, address string) (enginecaller.Status, error)
}

type lane struct {
	waiting []drafter.SendStep
	open    int
}

// Sender sends steps over a pool of workers and submits what came of them.
type Sender struct {
	ctx    context.Context
	engine EngineCaller
	pool   pond.Pool
	submit func(messenger.Event)

	mu    sync.Mutex
	lanes map[string]*lane
}

// NewSender returns a sender that gives its results to submit.
func NewSender(ctx context.Context, engine EngineCaller, pool pond.Pool, submit func(messenger.Event)) *Sender {
	return &Sender{ctx: ctx, engine: engine, pool: pool, submit: submit, lanes: map[string]*lane{}}
}

// Send sends the step with the next call to its engine; a step on a fresh connection, and
// one that rebuilds a KV cache, goes alone.
func (s *Sender) Send(step drafter.SendStep) {
	if step.Fresh || len(step.Before) > 0 {
		s.sendAlone(step)
		return
	}
	s.mu.Lock()
	l, ok := s.lanes[step.Address]
	if !ok {
		l = &lane{}
		s.lanes[step.Address] = l
	}
	l.waiting = append(l.waiting, step)
	s.mu.Unlock()
	s.next(step.Address)
}

func (s *Sender) sendAlone(step drafter.SendStep) {
	batch := []drafter.SendStep{step}
	if _, ok := s.pool.TrySubmit(func() { s.call(step.Address, batch) }); !ok {
		counter.Shed.Add(1)
		s.fail(batch, failure{})
	}
}

func (s *Sender) next(address string) {
	batch := s.take(address)
	if len(batch) == 0 {
		return
	}
	_, ok := s.pool.TrySubmit(func() {
		s.call(address, batch)
		s.release(address)
		s.next(address)
	})
	if ok {
		return
	}
	counter.Shed.Add(1)
	s.release(address)
	s.fail(batch, failure{})
}

func (s *Sender) take(address string) []drafter.SendStep {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.lanes[address]
	if len(l.waiting) == 0 || l.open >= callsPerEngine {
		return nil
	}
	n := min(len(l.waiting), batchLimit)
	batch := l.waiting[:n:n]
	l.waiting = l.waiting[n:]
	l.open++
	return batch
}

func (s *Sender) release(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l, ok := s.lanes[address]; ok && l.open > 0 {
		l.open--
	}
}

func (s *Sender) call(address string, batch []drafter.SendStep) {
	var deadline time.Time
	steps := make([]enginecaller.Step, 0, len(batch))
	ends := make([]func(error), 0, len(batch))
	for _, step := range batch {
		_, end := tracer.Start(step.Traceparent, "engine.step", "target", string(step.Target))
		steps = append(append(steps, step.Before...), step.Step)
		ends = append(ends, end)
		if step.Deadline.After(deadline) {
			deadline = step.Deadline
		}
	}
	ctx, cancel := context.WithDeadline(s.ctx, deadline)
	defer cancel()
	var probed <-chan bool
	if batch[0].Fresh {
		probed = s.probe(ctx, address)
	}
	results, err := s.engine.Steps(ctx, address, steps, batch[0].Fresh)
	for _, end := range ends {
		end(err)
	}
	counter.Steps.Add(int64(len(steps)))
	if err != nil || len(results) != len(steps) {
		s.fail(batch, failureOf(err, probed))
		return
	}
	for _, step := range batch {
		n := len(step.Before)
		s.submit(drafter.StepDone{Target: step.Target, Before: results[:n:n], Result: results[n]})
		results = results[n+1:]
	}
}

// probe asks the engine for its status while a step waits on a fresh connection.
func (s *Sender) probe(ctx context.Context, address string) <-chan bool {
	answered := make(chan bool, 1)
	_, ok := s.pool.TrySubmit(func() {
		_, err := s.engine.Status(ctx, address)
		answered <- err == nil
	})
	if !ok {
		answered <- false
	}
	return answered
}

// failure says what a failed call showed of its engine.
type failure struct {
	status int
	alive  bool
}

// failureOf tells a refusal from a call without an answer; an engine that answered the
// probe, while the call found a connection and no answer on it, is alive.
func failureOf(err error, probed <-chan bool) failure {
	var status *httpcaller.StatusError
	if errors.As(err, &status) {
		return failure{status: status.Status}
	}
	if probed == nil || !errors.Is(err, fasthttp.ErrTimeout) {
		return failure{}
	}
	return failure{alive: <-probed}
}

func (s *Sender) fail(batch []drafter.SendStep, f failure) {
	counter.StepsLost.Add(int64(len(batch)))
	for _, step := range batch {
		s.submit(drafter.StepFailed{
			Target: step.Target, Name: step.Step.StepName, Fresh: step.Fresh, Status: f.status, Alive: f.alive,
		})
	}
}
