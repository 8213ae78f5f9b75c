package eventlogger

// Events of records. A record tracks a request that must run at most once.
var (
	RecordClaimed = Event{3001, "record claimed"}
	RecordEnded   = Event{3002, "record ended"}
	// RecordClaimSent and the events below trace how a record key is claimed.
	RecordClaimSent    = Event{3003, "record claim sent"}
	RecordReleased     = Event{3004, "record claim released"}
	RecordClaimAwaited = Event{3005, "request waits for the claim of its record key"}
	RecordsReappended  = Event{3006, "records re-appended before the log trims them"}
)

func recordsEvents() []Event {
	return []Event{
		RecordClaimed,
		RecordEnded,
		RecordClaimSent,
		RecordReleased,
		RecordClaimAwaited,
		RecordsReappended,
	}
}
