package eventlogger

// Events of drafts, that is, of chat completions in progress.
var (
	DraftStarted    = Event{2001, "draft started"}
	DraftEnded      = Event{2002, "draft ended"}
	StageLost       = Event{2003, "stage lost"}
	StageReplaced   = Event{2004, "stage replaced"}
	DraftSuperseded = Event{2005, "draft superseded"}
	DraftTakenOver  = Event{2006, "draft taken over"}
)

func draftsEvents() []Event {
	return []Event{
		DraftStarted,
		DraftEnded,
		StageLost,
		StageReplaced,
		DraftSuperseded,
		DraftTakenOver,
	}
}
