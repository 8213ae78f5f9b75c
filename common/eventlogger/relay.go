package eventlogger

// Events of relaying.
var (
	RequestEnded         = Event{8001, "request ended"}
	AttemptEnded         = Event{8002, "attempt ended"}
	ConfigurationChanged = Event{8003, "configuration in force changed"}
	ConfigurationStale   = Event{8004, "configuration no longer confirmed"}
	ConfigurationFresh   = Event{8005, "configuration confirmed again"}
	TargetsChanged       = Event{8006, "targets changed"}
	TargetDoubted        = Event{8007, "target in doubt"}
	TargetTrusted        = Event{8008, "target trusted again"}
	ChainsPlanned        = Event{8009, "chains planned"}
	EntryUnreadable      = Event{8010, "entry of a target unreadable"}
	StoreLost            = Event{8011, "store lost"}
	StoreRegained        = Event{8012, "store regained"}
	PlacementOrdered     = Event{8013, "placement ordered"}
	PlacementAnswered    = Event{8014, "placement answered"}
	HoldingLease         = Event{8015, "lease for orders gained"}
	LostLease            = Event{8016, "lease for orders lost"}
	ReportFailed         = Event{8017, "report of a target failed"}
	SettingsRead         = Event{8018, "settings file changed"}
	RequestRerouted      = Event{8019, "running request led another way"}
	RequestWentBack      = Event{8020, "request went back to its silent attempt"}
	PeerFollowed         = Event{8021, "news of the store come from a peer"}
	PeerNotFollowed      = Event{8022, "news of the store no longer come from a peer"}
	RequestAccused       = Event{8023, "a target crashed under a request"}
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
