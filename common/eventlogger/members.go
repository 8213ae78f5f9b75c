package eventlogger

// Events of membership, targets and orders.
var (
	PeerStateChanged      = Event{5001, "peer state changed"}
	TargetStateChanged    = Event{5002, "target state changed"}
	TargetLeavingReported = Event{5003, "target reported that it is leaving"}
	LeaseChanged          = Event{5004, "lease changed"}
	OrderDecided          = Event{5005, "order decided"}
	OrderSent             = Event{5006, "order sent"}
	OrderEnded            = Event{5007, "order ended"}
	OrderNotSent          = Event{5008, "order not sent"}
	TargetUnreached       = Event{5009, "target not reached by this node"}
	TargetReachedAgain    = Event{5010, "target reached again by this node"}
)

func membersEvents() []Event {
	return []Event{
		PeerStateChanged,
		TargetStateChanged,
		TargetLeavingReported,
		LeaseChanged,
		OrderDecided,
		OrderSent,
		OrderEnded,
		OrderNotSent, TargetUnreached, TargetReachedAgain,
	}
}
