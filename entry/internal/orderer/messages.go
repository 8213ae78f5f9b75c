package orderer

import (
	"time"

	"fuchsiabridge.example/common/enginecaller"
	"fuchsiabridge.example/common/identifier"
)

// Stream is the log stream of assignments.
const Stream = "order"

// orderLoad is the kind of an order to load a layer range.
const orderLoad = "load"

// Assignment is the body of a log record that assigns a layer range to an engine. It is valid if
// its author held the lease at the record's offset in the log.
type Assignment struct {
	Target      identifier.TargetID    `json:"target"`
	Model       identifier.ModelID     `json:"model"`
	Layers      identifier.LayerRange  `json:"layers"`
	Node        identifier.NodeID      `json:"node"`
	Incarnation identifier.Incarnation `json:"incarnation"`
}

// SendOrder is the effect of one order. It must be sent before Until. OrderDone or OrderFailed follows.
type SendOrder struct {
	Target  identifier.TargetID
	Address string
	Order   enginecaller.Order
	Until   time.Time
}

// OrderDone reports that the engine has carried out the order.
type OrderDone struct {
	Target identifier.TargetID
	Fence  identifier.FencingToken
}

// OrderFailed reports that an order was not sent, was refused, or got no answer.
type OrderFailed struct {
	Target  identifier.TargetID
	Fence   identifier.FencingToken
	NotSent bool
	Reason  string
}
