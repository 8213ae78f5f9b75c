package eventlogger

// Events of the configuration and the platform's log.
var (
	ChangeAccepted   = Event{4001, "configuration change accepted"}
	ChangeRejected   = Event{4002, "configuration change rejected"}
	LogUnreachable   = Event{4003, "platform log unreachable"}
	LogReachable     = Event{4004, "platform log reachable"}
	ChangeProposed   = Event{4005, "configuration change sent to the log"}
	AppendUnanswered = Event{4006, "no answer to the append of a configuration change"}
	ChangeNotRun     = Event{4007, "configuration change not published"}
	ChangeUnknown    = Event{4008, "outcome of a configuration change unknown"}
	ChangeIDReused   = Event{4009, "change id used for another change"}
	RecordsLost      = Event{4010, "log trimmed records that this node had not read"}
	StateInstalled   = Event{4011, "configuration state installed"}
	SnapshotWritten  = Event{4012, "configuration snapshot sent to the log"}
	StateRejected    = Event{4013, "configuration state rejected"}
	RecordsPulled    = Event{4014, "log records pulled from a peer"}
	RecordUnreadable = Event{4015, "log record cannot be decoded"}
)

func configurationEvents() []Event {
	return []Event{
		ChangeAccepted,
		ChangeRejected,
		LogUnreachable,
		LogReachable,
		ChangeProposed,
		AppendUnanswered,
		ChangeNotRun,
		ChangeUnknown,
		ChangeIDReused,
		RecordsLost,
		StateInstalled,
		SnapshotWritten,
		StateRejected,
		RecordsPulled,
		RecordUnreadable,
	}
}
