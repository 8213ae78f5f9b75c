package eventlogger

// Events of drafts.
var (
	DraftStarted = Event{2001, "draft started"}
	DraftEnded   = Event{2002, "draft ended"}
)

func draftsEvents() []Event {
	return []Event{
		DraftStarted,
		DraftEnded,
	}
}
