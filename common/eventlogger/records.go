package eventlogger

// Events of records.
var (
	RecordClaimed = Event{3001, "record claimed"}
	RecordEnded   = Event{3002, "record ended"}
)

func recordsEvents() []Event {
	return []Event{
		RecordClaimed,
		RecordEnded,
	}
}
