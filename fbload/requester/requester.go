// Package requester makes callers' requests and tells how they ended.
package requester

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/responder"
)

// maxLineBytes bounds one line of a stream.
const maxLineBytes = 1 << 20

// Draft is one request for a draft.
type Draft struct {
	Node      string
	Key       string
	ID        string
	Class     string
	Model     string
	Prompt    string
	MaxTokens int
	// LastToken asks to go on after this token.
	LastToken int
	Deadline  time.Time
}

// Result is how a request ended.
type Result struct {
	Outcome responder.Outcome
	// Whole says that the answer's end was marked and all tokens came, numbered in order.
	Whole      bool
	Tokens     []string
	Status     int
	RetryAfter time.Duration
	Problem    responder.Problem
	Started    time.Time
	FirstToken time.Time
	// TokenAt holds the arrival of each token.
	TokenAt  []time.Time
	Finished time.Time
	Body     []byte
	Replayed bool
}

// Requester makes requests over pooled connections.
type Requester struct{ client *http.Client }

// NewRequester returns a requester.
func NewRequester() *Requester {
	transport := &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
	return &Requester{client: &http.Client{Transport: transport}}
}

// Close drops idle connections.
func (r *Requester) Close() { r.client.CloseIdleConnections() }

type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Outcome responder.Outcome  `json:"outcome"`
	Tokens  int                `json:"tokens"`
	Error   *responder.Problem `json:"error"`
}

// Prompt returns the text the models see for a prompt sent as one user message.
func Prompt(text string) string { return "user: " + text }

// Stream requests a draft as a stream; each token is also given to onToken, if set.
func (r *Requester) Stream(ctx context.Context, d Draft, onToken func(n int, text string)) (Result, error) {
	body, err := json.Marshal(map[string]any{
		"model": d.Model, "max_tokens": d.MaxTokens, "stream": true,
		"messages": []map[string]string{{"role": "user", "content": d.Prompt}},
	})
	if err != nil {
		return Result{}, errors.Wrap(err, "encoding a draft's request")
	}
	result := Result{Started: time.Now()}
	resp, err := r.post(ctx, d, body)
	if err != nil {
		return result, err
	}
	defer resp.Body.Close()
	result.Status = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		return result, result.refusal(resp)
	}
	return result, result.read(resp.Body, d.LastToken, onToken)
}

func (r *Requester) post(ctx context.Context, d Draft, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.Node+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "making a draft's request")
	}
	req.Header.Set("Authorization", "Bearer "+d.Key)
	req.Header.Set("X-Request-ID", d.ID)
	req.Header.Set("X-Class", d.Class)
	if d.LastToken > 0 {
		req.Header.Set("Last-Event-ID", strconv.Itoa(d.LastToken))
	}
	if !d.Deadline.IsZero() {
		req.Header.Set("X-Deadline-Unix-Ms", strconv.FormatInt(d.Deadline.UnixMilli(), 10))
	}
	resp, err := r.client.Do(req)
	return resp, errors.Wrap(err, "requesting a draft")
}

func (result *Result) refusal(resp *http.Response) error {
	defer func() { result.Finished = time.Now() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrap(err, "reading a refusal")
	}
	result.Body = raw
	result.Replayed = resp.Header.Get("X-Replayed") == "true"
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		result.RetryAfter = time.Duration(seconds) * time.Second
	}
	result.Outcome = responder.Outcome(resp.Header.Get("X-Outcome"))
	var refusal responder.Refusal
	if json.Unmarshal(raw, &refusal) == nil {
		result.Problem = refusal.Error
	}
	return nil
}

func (result *Result) read(body io.Reader, last int, onToken func(int, string)) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxLineBytes)
	id := ""
	inOrder := true
	for scanner.Scan() {
		line := scanner.Text()
		if rest, ok := strings.CutPrefix(line, "id: "); ok {
			id = rest
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok || data == "[DONE]" {
			continue
		}
		var c chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return errors.Wrap(err, "decoding a chunk")
		}
		if c.Outcome != "" {
			result.end(c, inOrder, last)
			continue
		}
		result.token(c.Choices[0].Delta.Content, onToken, last)
		inOrder = inOrder && id == strconv.Itoa(last+len(result.Tokens))
	}
	result.Finished = time.Now()
	return errors.Wrap(scanner.Err(), "reading a stream")
}

func (result *Result) token(text string, onToken func(int, string), last int) {
	now := time.Now()
	if len(result.Tokens) == 0 {
		result.FirstToken = now
	}
	result.Tokens = append(result.Tokens, text)
	result.TokenAt = append(result.TokenAt, now)
	if onToken != nil {
		onToken(last+len(result.Tokens), text)
	}
}

func (result *Result) end(c chunk, inOrder bool, last int) {
	result.Outcome = c.Outcome
	result.Whole = c.Outcome == responder.Delivered && inOrder && c.Tokens == last+len(result.Tokens)
	if c.Error != nil {
		result.Problem = *c.Error
	}
}

// Service is one request to a plain service.
type Service struct {
	Node           string
	Key            string
	Method         string
	Service        string
	Path           string
	Body           string
	IdempotencyKey string
	Class          string
	Deadline       time.Time
}

// Call requests a plain service.
func (r *Requester) Call(ctx context.Context, s Service) (Result, error) {
	result := Result{Started: time.Now()}
	url := "http://" + s.Node + "/services/" + s.Service + s.Path
	req, err := http.NewRequestWithContext(ctx, s.Method, url, strings.NewReader(s.Body))
	if err != nil {
		return result, errors.Wrap(err, "making a service's request")
	}
	req.Header.Set("Authorization", "Bearer "+s.Key)
	req.Header.Set("X-Class", s.Class)
	if s.IdempotencyKey != "" {
		req.Header["Idempotency-Key"] = []string{s.IdempotencyKey}
	}
	if !s.Deadline.IsZero() {
		req.Header.Set("X-Deadline-Unix-Ms", strconv.FormatInt(s.Deadline.UnixMilli(), 10))
	}
	// The caller itself must not send twice what may not be repeated.
	req.GetBody = nil
	resp, err := r.client.Do(req)
	if err != nil {
		return result, errors.Wrap(err, "requesting a service")
	}
	defer resp.Body.Close()
	result.Status = resp.StatusCode
	err = result.refusal(resp)
	result.Whole = result.Outcome == responder.Delivered
	return result, err
}
