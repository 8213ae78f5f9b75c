package eventlogger

// Admission control events.
var (
	RequestShed = Event{7001, "request shed"}
)

func admissionEvents() []Event {
	return []Event{
		RequestShed,
	}
}
