package eventlogger

// Events of nodes that relay requests.
var (
	RequestEnded           = Event{8001, "request ended"}
	AttemptEnded           = Event{8002, "attempt ended"}
	ConfigurationChanged   = Event{8003, "configuration in force changed"}
	ConfigurationStale     = Event{8004, "configuration no longer confirmed"}
	ConfigurationConfirmed = Event{8005, "configuration confirmed again"}
	TargetsChanged         = Event{8006, "targets changed"}
	TargetEjected          = Event{8007, "target ejected"}
	TargetReadmitted       = Event{8008, "target readmitted"}
	ChainsPlanned          = Event{8009, "chains planned"}
	EntryUnreadable        = Event{8010, "store entry of a target cannot be decoded"}
	StoreUnreachable       = Event{8011, "store unreachable"}
	StoreReachable         = Event{8012, "store reachable again"}
	PlacementOrderSent     = Event{8013, "placement order sent"}
	PlacementOrderAnswered = Event{8014, "placement order answered"}
	LeaseAcquired          = Event{8015, "lease for orders acquired"}
	LeaseLost              = Event{8016, "lease for orders lost"}
	ReportFailed           = Event{8017, "reading the report of a target failed"}
	SettingsChanged        = Event{8018, "settings file changed"}
	RequestRerouted        = Event{8019, "running request rerouted"}
	StalledAttemptResumed  = Event{8020, "request resumed its stalled attempt"}
	PeerFollowed           = Event{8021, "store updates come from a peer"}
	PeerNotFollowed        = Event{8022, "store updates no longer come from a peer"}
	RequestCrashedTarget   = Event{8023, "target crashed while running a request"}
	RelayedPoisonConfirmed = Event{8024, "relayed request confirmed as poison"}
	TargetFailed           = Event{8025, "target failed"}
	CrashesLearned         = Event{8026, "crashes of targets learned from peers"}
	RelayedRequestCleared  = Event{8027, "relayed request cleared of crashing targets"}
	RelayedRequestHeld     = Event{8028, "relayed request held back"}
	TargetLimitChanged     = Event{8029, "request limit of a target changed"}
	GrantDenied            = Event{8030, "request kept from a target by its limit"}
	RetryShareChanged      = Event{8031, "share of the retries beyond the ratio changed"}
	AttemptSurvived        = Event{8032, "targets have survived an attempt"}
	TargetSaysLeaving      = Event{8033, "target says that it is leaving"}
	TargetWantsQuiet       = Event{8034, "target wants no requests for a while"}
	AnnouncementUnreadable = Event{8035, "what a target says in an answer cannot be read"}
	StoreEraChanged        = Event{8036, "store was restored from a copy"}
	TargetSuspected        = Event{8038, "other nodes have seen a target fail"}
	ConfigurationIgnored   = Event{8037, "older configuration ignored"}
	PathLost               = Event{8039, "path to the targets of a service lost"}
	PathRestored           = Event{8040, "path to the targets of a service restored"}
	RequestDelegated       = Event{8041, "request handed over to another node"}
	DelegatesFound         = Event{8042, "search for nodes that take requests ended"}
	LoadsStale             = Event{8043, "load reports of targets are out of date"}
	LoadsRecent            = Event{8044, "load reports of targets are recent again"}
	TargetRejects          = Event{8046, "target avoided as it rejects requests"}
	SilentChainLeft        = Event{8047, "stream leaves a silent chain"}
	StreamNotContinued     = Event{8048, "stream could not be continued"}
	ConfigurationReceived  = Event{8052, "configuration received"}
	RequestNotAdmitted     = Event{8045, "request is shed or waits to be admitted"}
)

func relayEvents() []Event {
	return []Event{
		RequestEnded,
		ConfigurationReceived,
		AttemptEnded,
		LoadsStale,
		LoadsRecent,
		TargetRejects,
		SilentChainLeft,
		StreamNotContinued,
		RequestNotAdmitted,
		ConfigurationChanged,
		ConfigurationStale,
		ConfigurationConfirmed,
		TargetsChanged,
		TargetEjected,
		TargetReadmitted,
		ChainsPlanned,
		EntryUnreadable,
		StoreUnreachable,
		StoreReachable,
		PlacementOrderSent,
		PlacementOrderAnswered,
		LeaseAcquired,
		LeaseLost,
		ReportFailed,
		SettingsChanged,
		RequestRerouted,
		StalledAttemptResumed,
		PeerFollowed,
		PeerNotFollowed,
		RequestCrashedTarget,
		RelayedPoisonConfirmed,
		TargetFailed,
		CrashesLearned,
		RelayedRequestCleared,
		RelayedRequestHeld,
		TargetLimitChanged,
		GrantDenied,
		RetryShareChanged,
		AttemptSurvived,
		TargetSaysLeaving,
		TargetWantsQuiet,
		AnnouncementUnreadable,
		StoreEraChanged,
		TargetSuspected,
		ConfigurationIgnored, PathLost, PathRestored, RequestDelegated, DelegatesFound,
	}
}
