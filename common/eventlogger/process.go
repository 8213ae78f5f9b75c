package eventlogger

// Events of the process and its connections.
var (
	NodeStarted            = Event{1001, "node started"}
	NodeStopping           = Event{1002, "node stopping"}
	NodeStopped            = Event{1003, "node stopped"}
	InvalidSettings        = Event{1004, "invalid settings"}
	CallFailed             = Event{1005, "call failed"}
	PeerConnectionFailed   = Event{1006, "peer connection failed"}
	CallerConnectionFailed = Event{1007, "caller connection failed"}
	CallerDropped          = Event{8050, "connection closed to stay within the limits for callers"}
	AnswerDropped          = Event{8051, "answer given up to stay within the limit for answers"}
	StandInStarted         = Event{9001, "stand-in started"}
)

func processEvents() []Event {
	return []Event{
		NodeStarted,
		NodeStopping,
		NodeStopped,
		InvalidSettings,
		CallFailed,
		PeerConnectionFailed,
		CallerConnectionFailed,
		CallerDropped,
		AnswerDropped,
		StandInStarted,
	}
}
