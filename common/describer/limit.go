package describer

// RequestRate is a number of requests per second.
type RequestRate float64

// LimitKind is what an answer says about a request limit.
type LimitKind int

// Kinds of statements about a request limit.
const (
	// NoLimit: the answer names no limit.
	NoLimit LimitKind = iota
	// Limited: the answer names a limit.
	Limited
	// MalformedLimit: the answer has a limit that cannot be read.
	MalformedLimit
)

// NamedLimit is what an answer of a target says about its request limit.
type NamedLimit struct {
	Kind LimitKind
	// Rate is what the target takes from all nodes together, if Kind is Limited.
	Rate RequestRate
}
