package eventlogger

// Events of isolation of crashing requests.
var (
	RequestSuspected = Event{6001, "request suspected of crashing a target"}
	RequestConvicted = Event{6002, "request convicted of crashing targets"}
	RequestCleared   = Event{6003, "request cleared"}
	TrialStarted     = Event{6004, "suspect runs alone"}
	TrialVoid        = Event{6005, "target died under suspects of two nodes"}
	RequestHeld      = Event{6006, "request held while its like is suspect"}
)

func isolationEvents() []Event {
	return []Event{
		RequestSuspected,
		RequestConvicted,
		RequestCleared,
		TrialStarted,
		TrialVoid,
		RequestHeld,
	}
}
