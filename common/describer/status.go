package describer

import "fuchsiabridge.example/common/identifier"

// RelayStatus is the current state of a relaying node as shown to operators.
type RelayStatus struct {
	Node    identifier.NodeID `json:"node"`
	IsReady bool              `json:"is_ready"`
	// Version is the version of the configuration in force. ConfirmedMSAgo is the time since the
	// store last confirmed it, in milliseconds; -1 if there is no configuration.
	Version        int64 `json:"version"`
	ConfirmedMSAgo int64 `json:"confirmed_ms_ago"`
	// Targets counts the known targets, Leaving those that are draining, Ejected those that are ejected as
	// outliers.
	Targets int `json:"targets"`
	Leaving int `json:"leaving"`
	Ejected int `json:"doubted"`
	// Open counts the requests in progress. RetryQuota is the number of retries that the quota in force
	// now allows the node beyond the ratio.
	Open       int `json:"open"`
	RetryQuota int `json:"repeats"`
	// RetryShare is the node's share of the retries beyond the ratio, RetryBudgets what it has spent, by service.
	RetryShare   ShareStatus    `json:"retry_share"`
	RetryBudgets []BudgetStatus `json:"retry_budgets,omitempty"`
	// PoisonCandidates counts the attempts that may have crashed a target, RequestsWithCrashes the requests
	// known to have done so, ConfirmedPoison those of them that are refused.
	PoisonCandidates    int `json:"poison_candidates"`
	RequestsWithCrashes int `json:"requests_with_crashes"`
	ConfirmedPoison     int `json:"confirmed_poison"`
	// LostPaths are the services whose targets the node does not reach, DelegatedOpen counts the requests of other nodes in progress.
	LostPaths     []identifier.ServiceID `json:"lost_paths,omitempty"`
	DelegatedOpen int                    `json:"delegated_open,omitempty"`
	// Limits are the request limits that targets name.
	Limits []LimitStatus `json:"limits,omitempty"`
	// Quiet are the targets that want no requests for a while.
	Quiet []QuietStatus `json:"quiet,omitempty"`
	// Rejections tells of the targets that are avoided as they reject requests.
	Rejections RejectionStatus `json:"rejections"`
	// HoldsLease says that the node holds the lease to send orders, with the fencing token Fence.
	HoldsLease bool                    `json:"holds_lease"`
	Fence      identifier.FencingToken `json:"fence"`
	Chains     []ChainStatus           `json:"chains"`
	// Admission describes the services whose requests are shed if there are too many.
	Admission []AdmissionStatus `json:"admission,omitempty"`
}

// AdmissionStatus describes the admission of requests of one service. Admitted, Waited and Shed count requests since the start.
type AdmissionStatus struct {
	Service    identifier.ServiceID `json:"service"`
	Open       int                  `json:"open"`
	Waiting    int                  `json:"waiting"`
	Demand     float64              `json:"demand"`
	Share      float64              `json:"share"`
	ShareAgeMS int64                `json:"share_age_ms"`
	Factor     float64              `json:"factor"`
	Admitted   int64                `json:"admitted"`
	Waited     int64                `json:"waited"`
	Shed       int64                `json:"shed"`
}

// RejectionStatus tells of targets that are avoided as they reject requests.
type RejectionStatus struct {
	// Avoided counts the targets that are avoided now. Own counts how often the node began to avoid one since its start as it rejected a
	// request of this node, Learned as other nodes said so, and Dropped how often it ended that early, as others said so of too many targets.
	Avoided int `json:"avoided"`
	Own     int `json:"own"`
	Learned int `json:"learned"`
	Dropped int `json:"dropped"`
}

// ShareStatus describes a node's share of the retries that all nodes together may make beyond the ratio.
type ShareStatus struct {
	// Held is the share that the node holds, HeldMS for how long, in milliseconds; Least is the smallest one that it
	// held in the window, which counts.
	Held   int   `json:"held"`
	HeldMS int64 `json:"held_ms"`
	Least  int   `json:"least"`
}

// BudgetStatus describes what a node has spent of a service's retries in the window.
type BudgetStatus struct {
	Service  identifier.ServiceID `json:"service"`
	Requests int                  `json:"requests"`
	Retries  int                  `json:"retries"`
	// Allows says that one more retry is allowed.
	Allows bool `json:"allows"`
}

// LimitStatus describes the request limit of a target, as far as this node knows.
type LimitStatus struct {
	Target identifier.TargetID `json:"target"`
	// Rate is the number of requests per second that the target takes from all nodes together.
	Rate RequestRate `json:"rate"`
	// LimitedMS is the time since this node first learned of the limit, NamedMSAgo the time since it was last
	// named, in milliseconds.
	LimitedMS  int64 `json:"limited_ms"`
	NamedMSAgo int64 `json:"named_ms_ago"`
	// Sends counts this node's requests to the target since it first learned of the limit.
	Sends int `json:"sends"`
}

// ChainStatus describes one planned chain of targets. Hops counts its hops between data centres.
type ChainStatus struct {
	Service    identifier.ServiceID    `json:"service"`
	DataCentre identifier.DataCentre   `json:"data_centre"`
	Targets    []identifier.TargetID   `json:"targets"`
	Layers     []identifier.LayerRange `json:"layers"`
	Hops       int                     `json:"crossings"`
	StepMS     float64                 `json:"step_ms"`
	// Capacity is how many typical requests fit into the chain; open requests are not subtracted
	// from it. Open is how many of this node's requests are at the chain's most loaded target.
	Capacity float64 `json:"room"`
	Open     int     `json:"open"`
}

// QuietStatus is a target that wants no requests for a while.
type QuietStatus struct {
	Target identifier.TargetID `json:"target"`
	// LeftMS is the time that is left, in milliseconds.
	LeftMS int64 `json:"left_ms"`
	// Refusals counts the requests that the target has refused in that time.
	Refusals int `json:"refusals"`
}
