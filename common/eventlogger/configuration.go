package eventlogger

// Events of configuration and the log.
var (
	ChangeAccepted = Event{4001, "configuration change accepted"}
	ChangeRejected = Event{4002, "configuration change rejected"}
	LogUnreachable = Event{4003, "platform log unreachable"}
	LogReached     = Event{4004, "platform log reached"}
)

func configurationEvents() []Event {
	return []Event{
		ChangeAccepted,
		ChangeRejected,
		LogUnreachable,
		LogReached,
	}
}
