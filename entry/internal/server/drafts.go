package server

import (
	"bufio"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/responder"
	"fuchsiabridge.example/entry/internal/counter"
	"fuchsiabridge.example/entry/internal/drafter"
	"fuchsiabridge.example/entry/internal/gatekeeper"
	"fuchsiabridge.example/entry/internal/tracer"
)

const (
	defaultMaxTokens = 64
	maxTokensLimit   = 4096
	// maxOpenRequests limits the open requests of one node, and thereby its queued events.
	maxOpenRequests = 16_384
	busyRetryAfter  = time.Second
	// answerGrace is how long a handler waits after the deadline for the reducer's final answer.
	answerGrace = time.Second
	// streamPollInterval is how often an idle stream is checked for a disconnected caller.
	streamPollInterval = time.Second
)

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionRequest struct {
	Model     identifier.ModelID `json:"model"`
	Messages  []message          `json:"messages"`
	MaxTokens int                `json:"max_tokens"`
	Stream    bool               `json:"stream"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	FinishReason string   `json:"finish_reason,omitempty"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   identifier.ModelID `json:"model"`
	Choices []choice           `json:"choices"`
	Usage   *usage             `json:"usage,omitempty"`
	// Outcome and Tokens mark the end of an answer. A stream without them was cut off.
	Outcome responder.Outcome  `json:"outcome,omitempty"`
	Tokens  int                `json:"tokens,omitempty"`
	Error   *responder.Problem `json:"error,omitempty"`
}

// draft serves POST /v1/chat/completions. A draft is one chat completion in progress.
func (s *Server) draft(c *fasthttp.RequestCtx) {
	if !c.IsPost() {
		s.refuse(c, fasthttp.StatusMethodNotAllowed, "bad_method", "use POST", "method")
		return
	}
	r, ok := s.authenticate(c)
	if !ok {
		return
	}
	if s.node.Open() >= maxOpenRequests {
		p := responder.Problem{Code: "busy", Message: "the node has reached its limit of open requests", Place: ownPlace, RequestID: string(r.id)}
		count(r.class, responder.NotRun, r.deadline)
		responder.Refuse(c, fasthttp.StatusServiceUnavailable, responder.NotRun, p, busyRetryAfter)
		return
	}
	var body completionRequest
	if err := json.Unmarshal(c.PostBody(), &body); err != nil {
		s.refuse(c, fasthttp.StatusBadRequest, "bad_json", err.Error(), "body")
		return
	}
	draft, ok := s.validateDraft(c, r, body)
	if !ok {
		return
	}
	traceparent, end := tracer.Start(string(c.Request.Header.Peek(tracer.Header)), "entry.draft", "request_id", string(r.id))
	draft.Traceparent = traceparent
	call, answers := s.node.Call(draft.MaxTokens+2, func(id identifier.CallID) messenger.Event {
		draft.Call = id
		return gatekeeper.Requested{Request: draft}
	})
	w := &draftWriter{server: s, request: r, draft: draft, call: call, answers: answers, end: end}
	if body.Stream {
		w.stream(c)
		return
	}
	w.writeComplete(c)
}

// validateDraft validates the body and reports all findings together.
func (s *Server) validateDraft(c *fasthttp.RequestCtx, r request, body completionRequest) (drafter.Request, bool) {
	var findings []string
	layers, known := r.team.Models[body.Model]
	if !known {
		findings = append(findings, fmt.Sprintf("model: %q is not a model of the account's team", body.Model))
	}
	if len(body.Messages) == 0 {
		findings = append(findings, "messages: must contain at least one message")
	}
	if body.MaxTokens < 0 || body.MaxTokens > maxTokensLimit {
		findings = append(findings, fmt.Sprintf("max_tokens: must be from 1 to %d", maxTokensLimit))
	}
	last, err := lastToken(c)
	if err != nil {
		findings = append(findings, "header Last-Event-ID: must be the number of a token")
	}
	if len(findings) > 0 {
		s.refuse(c, fasthttp.StatusBadRequest, "bad_request", strings.Join(findings, "; "), "body")
		return drafter.Request{}, false
	}
	if body.MaxTokens == 0 {
		body.MaxTokens = defaultMaxTokens
	}
	prompt := promptOf(body.Messages)
	return drafter.Request{
		Draft:   identifier.DraftID(string(r.account.ID) + "/" + string(r.id)),
		Account: r.account.ID, Team: r.account.Team, Class: r.class, Priority: r.priority,
		Fingerprint: fingerprint(string(body.Model), prompt, strconv.Itoa(body.MaxTokens)),
		Model:       body.Model, Layers: layers, Prompt: prompt, PromptTokens: drafter.CountTokens(prompt),
		MaxTokens: body.MaxTokens, LastToken: last, Deadline: r.deadline,
	}, true
}

func lastToken(c *fasthttp.RequestCtx) (int, error) {
	text := string(c.Request.Header.Peek("Last-Event-ID"))
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 16)
	return int(n), err
}

func promptOf(messages []message) string {
	lines := make([]string, 0, len(messages))
	for _, m := range messages {
		lines = append(lines, m.Role+": "+m.Content)
	}
	return strings.Join(lines, "\n")
}

// draftWriter writes the answers of one call to its caller.
type draftWriter struct {
	server  *Server
	request request
	draft   drafter.Request
	call    identifier.CallID
	answers <-chan any
	end     func(error)
}

// writeComplete writes the whole answer once the draft has ended.
func (w *draftWriter) writeComplete(c *fasthttp.RequestCtx) {
	defer w.close()
	var tokens []string
	for {
		switch a := w.next().(type) {
		case drafter.Token:
			tokens = append(tokens, a.Text)
		case drafter.End:
			w.answer(c, a, tokens)
			return
		default:
			continue
		}
	}
}

func (w *draftWriter) answer(c *fasthttp.RequestCtx, end drafter.End, tokens []string) {
	count(w.request.class, end.Outcome, w.request.deadline)
	if end.Outcome != responder.Delivered {
		end.Problem.RequestID = string(w.request.id)
		responder.Refuse(c, statusOf(end.Outcome), end.Outcome, end.Problem, end.RetryAfter)
		return
	}
	c.Response.Header.Set(headerOutcome, string(end.Outcome))
	responder.JSON(c, fasthttp.StatusOK, completion{
		ID: string(w.request.id), Object: "chat.completion", Model: w.draft.Model,
		Choices: []choice{{Message: &message{Role: "assistant", Content: strings.Join(tokens, " ")}, FinishReason: "length"}},
		Usage:   &usage{PromptTokens: w.draft.PromptTokens, CompletionTokens: len(tokens)},
		Outcome: end.Outcome, Tokens: end.Tokens,
	})
}

// stream writes tokens as server-sent events as they arrive. A draft that ends before its first token gets
// an ordinary response, so that the status code reflects the outcome.
func (w *draftWriter) stream(c *fasthttp.RequestCtx) {
	first := w.next()
	if end, ok := first.(drafter.End); ok && end.Outcome != responder.Delivered {
		defer w.close()
		w.answer(c, end, nil)
		return
	}
	c.SetContentType("text/event-stream")
	c.Response.Header.Set("Cache-Control", "no-store")
	c.SetBodyStreamWriter(func(out *bufio.Writer) {
		defer w.close()
		for a := first; ; a = w.next() {
			if done := w.event(out, a); done {
				return
			}
		}
	})
}

// event writes one answer. It reports whether the stream has ended or its caller has disconnected.
func (w *draftWriter) event(out *bufio.Writer, answer any) bool {
	chunk := completion{ID: string(w.request.id), Object: "chat.completion.chunk", Model: w.draft.Model}
	switch a := answer.(type) {
	case drafter.Token:
		chunk.Choices = []choice{{Delta: &message{Role: "assistant", Content: a.Text}}}
		writeEvent(out, strconv.Itoa(a.Number), chunk)
	case drafter.End:
		count(w.request.class, a.Outcome, w.request.deadline)
		chunk.Outcome, chunk.Tokens = a.Outcome, a.Tokens
		if a.Outcome == responder.Delivered {
			chunk.Choices = []choice{{Delta: &message{}, FinishReason: "length"}}
		} else {
			chunk.Error = &a.Problem
		}
		writeEvent(out, "", chunk)
		_, _ = out.WriteString("data: [DONE]\n\n")
		_ = out.Flush()
		return true
	default:
		_, _ = out.WriteString(": waiting\n\n")
	}
	return out.Flush() != nil
}

// next waits for the next answer. It returns nil if there is none within streamPollInterval, and an end of its
// own if the reducer has not sent one by the deadline plus answerGrace.
func (w *draftWriter) next() any {
	select {
	case a := <-w.answers:
		return a
	case <-time.After(streamPollInterval):
	}
	if time.Now().Before(w.request.deadline.Add(answerGrace)) {
		return nil
	}
	p := responder.Problem{Code: "deadline", Message: "the node did not answer in time", Place: ownPlace}
	return drafter.End{Outcome: responder.Failed, Problem: p, RetryAfter: answerGrace}
}

func (w *draftWriter) close() {
	w.server.node.Close(w.call)
	w.server.node.Submit(drafter.CallerGone{Draft: w.draft.Draft, Call: w.call})
	w.end(nil)
}

func writeEvent(out *bufio.Writer, id string, chunk completion) {
	body, err := json.Marshal(chunk)
	if err != nil {
		return
	}
	if id != "" {
		counter.Tokens.Add(1)
		_, _ = out.WriteString("id: " + id + "\n")
	}
	_, _ = out.WriteString("data: ")
	_, _ = out.Write(body)
	_, _ = out.WriteString("\n\n")
}

func statusOf(outcome responder.Outcome) int {
	switch outcome {
	case responder.Delivered:
		return fasthttp.StatusOK
	case responder.Refused:
		return fasthttp.StatusConflict
	case responder.NotRun:
		return fasthttp.StatusServiceUnavailable
	case responder.Unknown:
		return fasthttp.StatusGatewayTimeout
	case responder.Failed:
		return fasthttp.StatusBadGateway
	}
	return fasthttp.StatusInternalServerError
}
