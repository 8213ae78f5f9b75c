package eventlogger

// Events of isolation of crashing requests.
var (
	RequestSuspected = Event{6001, "request suspected of crashing a target"}
	RequestConvicted = Event{6002, "request convicted of crashing targets"}
	RequestCleared   = Event{6003, "request cleared"}
)

func isolationEvents() []Event {
	return []Event{
		RequestSuspected,
		RequestConvicted,
		RequestCleared,
	}
}
