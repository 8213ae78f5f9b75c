package eventlogger

// Events of nodes that relay requests.
var (
	RequestEnded         = Event{8001, "request ended"}
	AttemptEnded         = Event{8002, "attempt ended"}
	ConfigurationChanged = Event{8003, "configuration in force changed"}
	ConfigurationStale   = Event{8004, "configuration no longer confirmed"}
	ConfigurationFresh   = Event{8005, "configuration confirmed again"}
	TargetsChanged       = Event{8006, "targets changed"}
	TargetDoubted        = Event{8007, "target ejected"}
	TargetTrusted        = Event{8008, "target readmitted"}
	ChainsPlanned        = Event{8009, "chains planned"}
	EntryUnreadable      = Event{8010, "store entry of a target cannot be decoded"}
	StoreLost            = Event{8011, "store unreachable"}
	StoreRegained        = Event{8012, "store reachable again"}
	PlacementOrdered     = Event{8013, "placement order sent"}
	PlacementAnswered    = Event{8014, "placement order answered"}
	HoldingLease         = Event{8015, "lease for orders acquired"}
	LostLease            = Event{8016, "lease for orders lost"}
	ReportFailed         = Event{8017, "reading the report of a target failed"}
	SettingsRead         = Event{8018, "settings file changed"}
	RequestRerouted      = Event{8019, "running request rerouted"}
	RequestWentBack      = Event{8020, "request resumed its stalled attempt"}
	PeerFollowed         = Event{8021, "store updates come from a peer"}
	PeerNotFollowed      = Event{8022, "store updates no longer come from a peer"}
	RequestAccused       = Event{8023, "target crashed while running a request"}
)

func relayEvents() []Event {
	return []Event{
		RequestEnded,
		AttemptEnded,
		ConfigurationChanged,
		ConfigurationStale,
		ConfigurationFresh,
		TargetsChanged,
		TargetDoubted,
		TargetTrusted,
		ChainsPlanned,
		EntryUnreadable,
		StoreLost,
		StoreRegained,
		PlacementOrdered,
		PlacementAnswered,
		HoldingLease,
		LostLease,
		ReportFailed,
		SettingsRead,
		RequestRerouted,
		RequestWentBack,
		PeerFollowed,
		PeerNotFollowed,
		RequestAccused,
	}
}
