package eventlogger

// Events of records.
var (
	RecordClaimed = Event{3001, "record claimed"}
	RecordEnded   = Event{3002, "record ended"}
	// RecordClaimSent and those after it say how a key came to its claim.
	RecordClaimSent = Event{3003, "record claim sent"}
	RecordReleased  = Event{3004, "record claim released"}
	RecordJoined    = Event{3005, "record waits for the key's claim"}
	RecordsCarried  = Event{3006, "records carried forward in the log"}
)

func recordsEvents() []Event {
	return []Event{
		RecordClaimed,
		RecordEnded,
		RecordClaimSent,
		RecordReleased,
		RecordJoined,
		RecordsCarried,
	}
}
