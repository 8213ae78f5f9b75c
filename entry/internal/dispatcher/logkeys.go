package dispatcher

// Keys in logs that several events share.
const (
	ageKey         = "age_ms"
	fingerprintKey = "fingerprint"
	groupKey       = "group"
	partsKey       = "shared_parts"
	reasonKey      = "reason"
	sendsKey       = "sends"
)
