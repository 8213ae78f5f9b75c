package eventlogger

import "slices"

// Catalogue returns all events. The ranges of numbers are: 1xxx process, 2xxx drafts, 3xxx records,
// 4xxx configuration and the log, 5xxx membership, targets and orders, 6xxx isolation of requests
// that crash targets, 7xxx admission control, 8xxx relaying, 9xxx stand-ins.
func Catalogue() []Event {
	return slices.Concat(
		processEvents(), draftsEvents(), recordsEvents(), configurationEvents(),
		membersEvents(), isolationEvents(), admissionEvents(), relayEvents(),
	)
}
