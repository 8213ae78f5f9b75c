package dispatcher

// Keys in logs that several events share.
const (
	fingerprintKey = "fingerprint"
	groupKey       = "group"
	reasonKey      = "reason"
	sendsKey       = "sends"
)
