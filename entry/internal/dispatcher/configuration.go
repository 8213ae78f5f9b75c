package dispatcher

import (
	"time"

	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/placer"
)

func (d *Dispatcher) isFresh(now time.Time) bool {
	limit := time.Duration(freshnessFraction * float64(d.cfg.RevocationLimit))
	return limit == 0 || now.Sub(d.confirmedAt) < limit
}

// configurationRead applies a configuration only if its version is newer than the current one.
func (d *Dispatcher) configurationRead(ev ConfigurationRead) []messenger.Effect {
	previous := int64(0)
	if d.table != nil {
		previous = d.table.Version
		if ev.Table.Version < previous {
			return []messenger.Effect{logConfiguration(eventlogger.ConfigurationIgnored, ev, previous)}
		}
		if ev.Table.Version == previous {
			return nil
		}
	}
	d.table = ev.Table
	d.chooser.SetServices(ev.Table.Services)
	return []messenger.Effect{
		messenger.Raise{Event: placer.ConfigurationChanged{Table: ev.Table}}, logConfiguration(eventlogger.ConfigurationChanged, ev, previous),
	}
}

func logConfiguration(event eventlogger.Event, ev ConfigurationRead, previous int64) messenger.Effect {
	accounts, keys := ev.Table.CountAccounts()
	return messenger.Log{
		Event: event, Subject: "configuration",
		Values: []any{
			"version", ev.Table.Version, "former", previous, "routes", ev.Table.Size(), "accounts", accounts, "keys", keys,
			"source", ev.Source, "era", ev.Position.Era, "offset", ev.Position.Offset,
		},
	}
}

func (d *Dispatcher) configurationConfirmed(now time.Time, ev ConfigurationConfirmed) []messenger.Effect {
	age := now.Sub(d.confirmedAt)
	if ev.AsOf.After(d.confirmedAt) {
		d.confirmedAt = ev.AsOf
	}
	if !d.isStale || !d.isFresh(now) {
		return nil
	}
	d.isStale = false
	return []messenger.Effect{messenger.Log{
		Event: eventlogger.ConfigurationConfirmed, Subject: "configuration", Values: []any{ageKey, age.Milliseconds()},
	}}
}
