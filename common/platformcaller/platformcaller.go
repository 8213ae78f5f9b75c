// Package platformcaller is a client for the platform's append-only log and VM list. Its types are the
// platform's published protocol, JSON over HTTP.
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
	// ID is chosen by the writer, so that it can recognize its record in the log if the answer to the
	// append was lost.
	ID string `json:"id"`
	// Stream names the part of the system that the record belongs to.
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
	// First is the oldest offset that the log still holds.
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

// VM is one entry of the VM list, which may be out of date.
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

// Caller is a client for the platform.
type Caller struct {
	http    *httpcaller.Caller
	address string
}

// NewCaller returns a caller of the platform at address.
func NewCaller(http *httpcaller.Caller, address string) *Caller {
	return &Caller{http: http, address: address}
}

// Append appends records atomically and returns the offset of the first. After an error that is not
// marked httpcaller.ErrNotSent, the records may have been appended or not.
func (c *Caller) Append(ctx context.Context, records []Record) (identifier.Offset, error) {
	var out AppendAnswer
	err := c.http.JSON(ctx, "POST", "http://"+c.address+"/v1/log", AppendRequest{Records: records}, &out)
	return out.First, err
}

// ReadRequest requests the records from an offset on.
type ReadRequest struct {
	From identifier.Offset
	// Wait is how long the log may wait for a first record if there is none yet (long polling).
	Wait time.Duration
	// NewConn makes the call on a new connection.
	NewConn bool
}

// Read reads one page of the log.
func (c *Caller) Read(ctx context.Context, r ReadRequest) (Page, error) {
	var out Page
	u := fmt.Sprintf("http://%s/v1/log?from=%d&wait_ms=%d", c.address, r.From, r.Wait.Milliseconds())
	err := c.http.JSONWith(ctx, httpcaller.Request{Method: "GET", URL: u, NewConn: r.NewConn}, nil, &out)
	return out, err
}

// VMs returns the VM list.
func (c *Caller) VMs(ctx context.Context) ([]VM, error) {
	var out VMs
	err := c.http.JSON(ctx, "GET", "http://"+c.address+"/v1/vms", nil, &out)
	return out.VMs, err
}

// PutVM writes one entry of the VM list; only the stand-in for the platform supports it.
func (c *Caller) PutVM(ctx context.Context, vm VM) error {
	return c.http.JSON(ctx, "PUT", "http://"+c.address+"/v1/vms", vm, nil)
}
