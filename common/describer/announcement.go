package describer

import "time"

// Announcement is what an answer of a target says about the target itself.
type Announcement struct {
	Limit NamedLimit
	// IsLeaving says that the target is leaving and wants no further requests.
	IsLeaving bool
	// RetryAfter is for how long a target that refuses a request wants none from this node, 0 if it does not say.
	RetryAfter time.Duration
	// Malformed holds the names of fields that could not be read, which count as absent.
	Malformed []string
}
