package eventlogger

// Events of the isolation of poison requests, that is, of requests that crash the targets that run
// them.
var (
	RequestSuspected  = Event{6001, "request suspected of crashing a target"}
	PoisonConfirmed   = Event{6002, "request confirmed as poison"}
	RequestCleared    = Event{6003, "request cleared of crashing targets"}
	TrialStarted      = Event{6004, "poison candidate runs alone at a target"}
	TrialInconclusive = Event{6005, "target crashed while running poison candidates of several nodes"}
	RequestHeld       = Event{6006, "request held back while an identical one is a poison candidate"}
)

func isolationEvents() []Event {
	return []Event{
		RequestSuspected,
		PoisonConfirmed,
		RequestCleared,
		TrialStarted,
		TrialInconclusive,
		RequestHeld,
	}
}
