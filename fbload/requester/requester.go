// Package requester is a client for the nodes' public API. It sends the requests of client accounts and
// returns their results.
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

// maxLineBytes is the maximum length of one line of a stream.
const maxLineBytes = 1 << 20

// DraftRequest is a request for a chat completion.
type DraftRequest struct {
	Node      string
	Key       string
	ID        string
	Class     string
	Model     string
	Prompt    string
	MaxTokens int
	// LastToken is the number of the last token received so far; the stream resumes after it.
	LastToken int
	Deadline  time.Time
}

// Result is the result of a request.
type Result struct {
	Outcome responder.Outcome
	// IsComplete says that the answer is complete: the end of the stream was marked, and all tokens arrived in
	// order. For a service call it says that the outcome is Delivered.
	IsComplete bool
	Tokens     []string
	Status     int
	RetryAfter time.Duration
	Problem    responder.Problem
	Started    time.Time
	FirstToken time.Time
	// TokenAt holds the time at which each token arrived.
	TokenAt  []time.Time
	Finished time.Time
	Body     []byte
	Replayed bool
}

// Requester sends requests over pooled connections.
type Requester struct{ client *http.Client }

// NewRequester returns a requester with its own connection pool.
func NewRequester() *Requester {
	transport := &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
	return &Requester{client: &http.Client{Transport: transport}}
}

// Close closes idle connections.
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

// ModelPrompt returns the text that the models see for a prompt that is sent as a single user message.
func ModelPrompt(text string) string { return "user: " + text }

// Stream requests a chat completion as a stream. It calls onToken, if not nil, for each token.
func (r *Requester) Stream(ctx context.Context, d DraftRequest, onToken func(n int, text string)) (Result, error) {
	body, err := json.Marshal(map[string]any{
		"model": d.Model, "max_tokens": d.MaxTokens, "stream": true,
		"messages": []map[string]string{{"role": "user", "content": d.Prompt}},
	})
	if err != nil {
		return Result{}, errors.Wrap(err, "encoding a chat completion request")
	}
	result := Result{Started: time.Now()}
	resp, err := r.post(ctx, d, body)
	if err != nil {
		return result, err
	}
	defer resp.Body.Close()
	result.Status = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		return result, result.readResponse(resp)
	}
	return result, result.readStream(resp.Body, d.LastToken, onToken)
}

func (r *Requester) post(ctx context.Context, d DraftRequest, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.Node+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "building a chat completion request")
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
	return resp, errors.Wrap(err, "requesting a chat completion")
}

// readResponse reads a response that is not a stream, such as a refusal.
func (result *Result) readResponse(resp *http.Response) error {
	defer func() { result.Finished = time.Now() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrap(err, "reading a response body")
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

// readStream reads the events of a stream that resumes after the token with the number last.
func (result *Result) readStream(body io.Reader, last int, onToken func(int, string)) error {
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
			return errors.Wrap(err, "decoding an event of a stream")
		}
		if c.Outcome != "" {
			result.finish(c, inOrder, last)
			continue
		}
		result.addToken(c.Choices[0].Delta.Content, onToken, last)
		inOrder = inOrder && id == strconv.Itoa(last+len(result.Tokens))
	}
	result.Finished = time.Now()
	return errors.Wrap(scanner.Err(), "reading a stream")
}

func (result *Result) addToken(text string, onToken func(int, string), last int) {
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

func (result *Result) finish(c chunk, inOrder bool, last int) {
	result.Outcome = c.Outcome
	result.IsComplete = c.Outcome == responder.Delivered && inOrder && c.Tokens == last+len(result.Tokens)
	if c.Error != nil {
		result.Problem = *c.Error
	}
}

// ServiceRequest is a request to a plain service, that is, one that runs no model layers.
type ServiceRequest struct {
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

// Call sends a request to a plain service.
func (r *Requester) Call(ctx context.Context, s ServiceRequest) (Result, error) {
	result := Result{Started: time.Now()}
	url := "http://" + s.Node + "/services/" + s.Service + s.Path
	req, err := http.NewRequestWithContext(ctx, s.Method, url, strings.NewReader(s.Body))
	if err != nil {
		return result, errors.Wrap(err, "building a service request")
	}
	req.Header.Set("Authorization", "Bearer "+s.Key)
	req.Header.Set("X-Class", s.Class)
	if s.IdempotencyKey != "" {
		req.Header["Idempotency-Key"] = []string{s.IdempotencyKey}
	}
	if !s.Deadline.IsZero() {
		req.Header.Set("X-Deadline-Unix-Ms", strconv.FormatInt(s.Deadline.UnixMilli(), 10))
	}
	// Without GetBody the HTTP client cannot resend a body, so it does not retry a request that has one. It
	// may still retry a request without a body that is a GET or has an idempotency key.
	req.GetBody = nil
	resp, err := r.client.Do(req)
	if err != nil {
		return result, errors.Wrap(err, "calling a service")
	}
	defer resp.Body.Close()
	result.Status = resp.StatusCode
	err = result.readResponse(resp)
	result.IsComplete = result.Outcome == responder.Delivered
	return result, err
}
