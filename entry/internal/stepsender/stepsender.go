// Package stepsender sends steps to engines; those for the same engine that wait
// together travel together.
package stepsender

import (
	"context"
	"sync"
	"time"

	"github.com/alitto/pond/v2"

	"fuchsiabridge.example/common/enginecaller"
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

// Send sends the step with the next call to its engine; a step on a fresh connection goes alone.
func (s *Sender) Send(step drafter.SendStep) {
	if step.Fresh {
		batch := []drafter.SendStep{step}
		if _, ok := s.pool.TrySubmit(func() { s.call(step.Address, batch) }); !ok {
			s.fail(batch)
		}
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
	s.fail(batch)
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
		steps = append(steps, step.Step)
		ends = append(ends, end)
		if step.Deadline.After(deadline) {
			deadline = step.Deadline
		}
	}
	ctx, cancel := context.WithDeadline(s.ctx, deadline)
	defer cancel()
	results, err := s.engine.Steps(ctx, address, steps, batch[0].Fresh)
	for _, end := range ends {
		end(err)
	}
	counter.Steps.Add(int64(len(batch)))
	if err != nil || len(results) != len(batch) {
		s.fail(batch)
		return
	}
	for i, r := range results {
		s.submit(drafter.StepDone{Target: batch[i].Target, Result: r})
	}
}

func (s *Sender) fail(batch []drafter.SendStep) {
	counter.StepsLost.Add(int64(len(batch)))
	for _, step := range batch {
		s.submit(drafter.StepFailed{Target: step.Target, Name: step.Step.StepName, Fresh: step.Fresh})
	}
}
