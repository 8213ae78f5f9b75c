package describer

import "fuchsiabridge.example/common/identifier"

// RelayStatus is what a relaying node believes now, as it tells operators.
type RelayStatus struct {
	Node    identifier.NodeID `json:"node"`
	IsReady bool              `json:"is_ready"`
	// Version is that of the configuration in force, ConfirmedMSAgo its age in milliseconds, -1 for none.
	Version        int64 `json:"version"`
	ConfirmedMSAgo int64 `json:"confirmed_ms_ago"`
	Targets        int   `json:"targets"`
	Leaving        int   `json:"leaving"`
	Doubted        int   `json:"doubted"`
	// Open counts the requests in progress, Repeats the repeats that the node may send beyond its share.
	Open    int `json:"open"`
	Repeats int `json:"repeats"`
	// HoldsLease says that the node gives orders, under the fencing number Fence.
	HoldsLease bool                     `json:"holds_lease"`
	Fence      identifier.FencingNumber `json:"fence"`
	Chains     []ChainStatus            `json:"chains"`
}

// ChainStatus is one planned chain.
type ChainStatus struct {
	Service    identifier.ServiceID    `json:"service"`
	DataCentre identifier.DataCentre   `json:"data_centre"`
	Targets    []identifier.TargetID   `json:"targets"`
	Layers     []identifier.LayerRange `json:"layers"`
	Crossings  int                     `json:"crossings"`
	StepMS     float64                 `json:"step_ms"`
	// Room is how many usual requests have room, Open how many of this node's are at its fullest target.
	Room float64 `json:"room"`
	Open int     `json:"open"`
}
