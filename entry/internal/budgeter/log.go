package budgeter

import (
	"time"

	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/messenger"
)

// ApplyShare sets the node's share of the retries beyond the ratio, and logs a change with the given values.
func (b *Budgets) ApplyShare(now time.Time, retries int, values ...any) []messenger.Effect {
	before := b.Share(now)
	if !b.SetShare(now, retries) {
		return nil
	}
	return []messenger.Effect{messenger.Log{
		Event: eventlogger.RetryShareChanged, Subject: "retries",
		Values: append([]any{"share", retries, "former", before.Held, "former_ms", before.HeldMS, "least", before.Least}, values...),
	}}
}
