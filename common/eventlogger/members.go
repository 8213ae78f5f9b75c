package eventlogger

// Events of membership, targets and orders.
var (
	PeerStateChanged  = Event{5001, "peer state changed"}
	TargetStateChange = Event{5002, "target state changed"}
)

func membersEvents() []Event {
	return []Event{
		PeerStateChanged,
		TargetStateChange,
	}
}
