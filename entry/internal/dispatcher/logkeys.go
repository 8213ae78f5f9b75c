package dispatcher

// Keys in logs that several events share.
const (
	fingerprintKey = "fingerprint"
	reasonKey      = "reason"
	sendsKey       = "sends"
)
