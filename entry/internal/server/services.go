package server

import (
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"fuchsiabridge.example/common/configurer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/responder"
	"fuchsiabridge.example/entry/internal/recorder"
	"fuchsiabridge.example/entry/internal/retrier"
	"fuchsiabridge.example/entry/internal/tracer"
)

const maxKeyLength = 256

// service serves /services/{service}/…. A call that must not be repeated needs an idempotency key.
func (s *Server) service(c *fasthttp.RequestCtx) {
	r, ok := s.authenticate(c)
	if !ok {
		return
	}
	name, rest, _ := strings.Cut(strings.TrimPrefix(string(c.URI().PathOriginal()), "/services/"), "/")
	service, ok := r.team.Services[identifier.ServiceID(name)]
	if !ok {
		s.refuse(c, fasthttp.StatusNotFound, "unknown_service", "the account's team has no such service", "path")
		return
	}
	requested := s.requested(c, r, service, "/"+rest)
	isIdempotent := service.Idempotent || c.IsGet() || c.IsHead()
	if !isIdempotent && !s.setKey(c, r, &requested) {
		return
	}
	traceparent, end := tracer.Start(string(c.Request.Header.Peek(tracer.Header)), "entry.service", "service", name)
	defer end(nil)
	requested.Traceparent = traceparent
	call, answers := s.node.Call(1, func(id identifier.CallID) messenger.Event {
		requested.Call = id
		if isIdempotent {
			return retrier.Requested{Requested: requested}
		}
		return requested
	})
	defer s.node.Close(call)
	s.answerService(c, r, requested, answers, isIdempotent)
}

// requested returns the event of a service request. Its header holds only the fields that are forwarded.
func (s *Server) requested(c *fasthttp.RequestCtx, r request, service configurer.Service, path string) recorder.Requested {
	if query := c.QueryArgs().QueryString(); len(query) > 0 {
		path += "?" + string(query)
	}
	return recorder.Requested{
		Service: service.ID, Method: string(c.Method()), Path: path,
		Body:     append([]byte(nil), c.PostBody()...),
		Deadline: r.deadline,
		Header: map[string]string{
			"Content-Type": string(c.Request.Header.ContentType()),
			"X-Account":    string(r.account.ID),
		},
	}
}

// setKey sets the record key from the idempotency key. On an error it answers the request and returns false.
func (s *Server) setKey(c *fasthttp.RequestCtx, r request, requested *recorder.Requested) bool {
	key := string(c.Request.Header.Peek(headerKey))
	if key == "" || len(key) > maxKeyLength {
		s.refuse(c, fasthttp.StatusBadRequest, "bad_key", "a call that must not be repeated needs a key of 1 to 256 bytes", "header "+headerKey)
		return false
	}
	requested.Key = identifier.RecordKey(string(r.account.ID) + "/" + string(requested.Service) + "/" + key)
	requested.Header[headerKey] = key
	requested.Fingerprint = fingerprint(requested.Method, requested.Path, string(requested.Body))
	return true
}

func (s *Server) answerService(c *fasthttp.RequestCtx, r request, requested recorder.Requested, answers <-chan any, isIdempotent bool) {
	timeout := time.NewTimer(time.Until(r.deadline) + answerGrace)
	defer timeout.Stop()
	// If the reducer sends no final answer, a call that must not be repeated may still have been executed.
	a := recorder.Answer{Outcome: responder.Unknown, RetryAfter: answerGrace, Problem: responder.Problem{
		Code: "unknown", Message: "the node did not answer in time", Place: ownPlace, Key: string(c.Request.Header.Peek(headerKey)),
	}}
	if isIdempotent {
		a.Outcome = responder.Failed
	}
	select {
	case got := <-answers:
		a, _ = got.(recorder.Answer)
	case <-timeout.C:
	}
	count(r.class, a.Outcome, r.deadline)
	if a.Outcome != responder.Delivered {
		a.Problem.RequestID = string(r.id)
		if a.Problem.Key != "" {
			a.Problem.Key = requested.Header[headerKey]
		}
		responder.Refuse(c, statusOf(a.Outcome), a.Outcome, a.Problem, a.RetryAfter)
		return
	}
	c.Response.Header.Set(headerOutcome, string(a.Outcome))
	if a.Replayed {
		c.Response.Header.Set("X-Replayed", "true")
	}
	c.SetStatusCode(a.Status)
	c.SetContentType(a.ContentType)
	c.SetBody(a.Body)
}
