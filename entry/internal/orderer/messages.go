package orderer

import (
	"time"

	"fuchsiabridge.example/common/enginecaller"
	"fuchsiabridge.example/common/identifier"
)

// Stream is the log stream of assignments.
const Stream = "order"

// orderLoad is the engines' order to load a layer range.
const orderLoad = "load"

// Assignment is the body of a record that says what an engine is to hold. It counts
// when its author held the lease at its place in the log.
type Assignment struct {
	Target      identifier.TargetID    `json:"target"`
	Model       identifier.ModelID     `json:"model"`
	Layers      identifier.LayerRange  `json:"layers"`
	Node        identifier.NodeID      `json:"node"`
	Incarnation identifier.Incarnation `json:"incarnation"`
}

// SendOrder is the effect of one order, which must not be sent at or after Until;
// OrderDone or OrderFailed follows.
type SendOrder struct {
	Target  identifier.TargetID
	Address string
	Order   enginecaller.Order
	Until   time.Time
}

// OrderDone says that the engine carried the order out.
type OrderDone struct {
	Target identifier.TargetID
	Fence  identifier.FencingNumber
}

// OrderFailed says that an order was not sent, was refused, or got no answer.
type OrderFailed struct {
	Target  identifier.TargetID
	Fence   identifier.FencingNumber
	NotSent bool
	Reason  string
}
