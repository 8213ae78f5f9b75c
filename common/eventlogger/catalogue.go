package eventlogger

// Events of the node. 1xxx process, 2xxx drafts, 3xxx records, 4xxx configuration,
// 5xxx membership and targets, 6xxx isolation of crashing requests, 7xxx admission.
var (
	NodeStarted       = Event{1001, "node started"}
	NodeStopping      = Event{1002, "node stopping"}
	NodeStopped       = Event{1003, "node stopped"}
	SettingsWrong     = Event{1004, "settings wrong"}
	CallFailed        = Event{1005, "call failed"}
	DraftStarted      = Event{2001, "draft started"}
	DraftEnded        = Event{2002, "draft ended"}
	RecordClaimed     = Event{3001, "record claimed"}
	RecordEnded       = Event{3002, "record ended"}
	ChangeAccepted    = Event{4001, "configuration change accepted"}
	ChangeRejected    = Event{4002, "configuration change rejected"}
	LogUnreachable    = Event{4003, "platform log unreachable"}
	LogReached        = Event{4004, "platform log reached"}
	PeerStateChanged  = Event{5001, "peer state changed"}
	TargetStateChange = Event{5002, "target state changed"}
	StandInStarted    = Event{9001, "stand-in started"}
)

// Catalogue lists every event.
func Catalogue() []Event {
	return []Event{
		NodeStarted, NodeStopping, NodeStopped, SettingsWrong, CallFailed,
		DraftStarted, DraftEnded, RecordClaimed, RecordEnded,
		ChangeAccepted, ChangeRejected, LogUnreachable, LogReached,
		PeerStateChanged, TargetStateChange, StandInStarted,
	}
}
