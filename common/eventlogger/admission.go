package eventlogger

// Events of admission.
var (
	RequestShed = Event{7001, "request shed"}
)

func admissionEvents() []Event {
	return []Event{
		RequestShed,
	}
}
