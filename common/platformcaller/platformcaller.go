// Package platformcaller reaches the platform: its append-only log and its VM list.
// Its types are the platform's published protocol (JSON over HTTP).
package platformcaller

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"fuchsiabridge.example/common/httpcaller"
	"fuchsiabridge.example/common/identifier"
)

// Record is one record of the log. Offset is set by the platform.
type Record struct {
	Offset identifier.Offset `json:"offset"`
	// ID is chosen by the writer, so that it can find a record whose append's answer was lost.
	ID string `json:"id"`
	// Stream says which part of the system the record belongs to.
	Stream string          `json:"stream"`
	Body   json.RawMessage `json:"body"`
}

// AppendRequest is the body of POST /v1/log; its records get consecutive offsets.
type AppendRequest struct {
	Records []Record `json:"records"`
}

// AppendAnswer is the answer to POST /v1/log.
type AppendAnswer struct {
	First identifier.Offset `json:"first"`
}

// Page is the answer to GET /v1/log?from=N.
type Page struct {
	Records []Record `json:"records"`
	// Next is the offset to read from next.
	Next identifier.Offset `json:"next"`
	// First is the oldest offset still kept.
	First identifier.Offset `json:"first"`
	// End is the offset after the newest record.
	End identifier.Offset `json:"end"`
}

// Roles of a VM.
const (
	RoleEngine  = "engine"
	RoleService = "service"
	RoleEntry   = "entry"
)

// VM is one row of the VM list, which lags.
type VM struct {
	ID         string                `json:"id"`
	Role       string                `json:"role"`
	Service    identifier.ServiceID  `json:"service,omitempty"`
	Address    string                `json:"address"`
	DataCentre identifier.DataCentre `json:"data_centre"`
	Leaving    bool                  `json:"leaving"`
}

// VMs is the answer to GET /v1/vms.
type VMs struct {
	VMs []VM `json:"vms"`
}

// Caller speaks the platform's protocol.
type Caller struct {
	http    *httpcaller.Caller
	address string
}

// NewCaller returns a caller of the platform at address.
func NewCaller(http *httpcaller.Caller, address string) *Caller {
	return &Caller{http: http, address: address}
}

// Append appends records together. An error other than ErrNotSent leaves open whether they took effect.
func (c *Caller) Append(ctx context.Context, records []Record) (identifier.Offset, error) {
	var out AppendAnswer
	err := c.http.JSON(ctx, "POST", "http://"+c.address+"/v1/log", AppendRequest{Records: records}, &out)
	return out.First, err
}

// ReadRequest asks for the records from an offset on.
type ReadRequest struct {
	From identifier.Offset
	// Wait is how long the log may wait for the first record.
	Wait time.Duration
	// Fresh makes the read on a new connection.
	Fresh bool
}

// Read reads one page of the log.
func (c *Caller) Read(ctx context.Context, r ReadRequest) (Page, error) {
	var out Page
	u := fmt.Sprintf("http://%s/v1/log?from=%d&wait_ms=%d", c.address, r.From, r.Wait.Milliseconds())
	err := c.http.JSONWith(ctx, httpcaller.Request{Method: "GET", URL: u, Fresh: r.Fresh}, nil, &out)
	return out, err
}

// VMs reads the VM list.
func (c *Caller) VMs(ctx context.Context) ([]VM, error) {
	var out VMs
	err := c.http.JSON(ctx, "GET", "http://"+c.address+"/v1/vms", nil, &out)
	return out.VMs, err
}

// PutVM writes one row of the stand-in's VM list.
func (c *Caller) PutVM(ctx context.Context, vm VM) error {
	return c.http.JSON(ctx, "PUT", "http://"+c.address+"/v1/vms", vm, nil)
}
