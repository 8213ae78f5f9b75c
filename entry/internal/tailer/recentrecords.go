package tailer

import (
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/platformcaller"
)

const (
	// Limits of the records that are kept for peers.
	maxRecentRecords = 8192
	maxRecentBytes   = 4 << 20
	// Limits of one answer to a peer.
	maxPageRecords = 1000
	maxPageBytes   = 256 << 10
)

// recentRecords holds the newest records of the log, without gaps, for peers that lack them.
type recentRecords struct {
	records []platformcaller.Record
	bytes   int
}

func (k *recentRecords) add(r platformcaller.Record) {
	if n := len(k.records); n > 0 && r.Offset <= k.records[n-1].Offset {
		return
	}
	k.records = append(k.records, r)
	k.bytes += len(r.Body)
	drop := 0
	for len(k.records)-drop > maxRecentRecords || (k.bytes > maxRecentBytes && len(k.records)-drop > 1) {
		k.bytes -= len(k.records[drop].Body)
		drop++
	}
	k.records = k.records[drop:]
}

func (k *recentRecords) clear() { k.records, k.bytes = nil, 0 }

// page returns the kept records from the given offset on. end is the offset after the newest record.
func (k *recentRecords) page(from, end identifier.Offset) platformcaller.Page {
	page := platformcaller.Page{Next: from, First: end, End: end}
	if len(k.records) > 0 {
		page.First = k.records[0].Offset
	}
	size := 0
	for _, r := range k.records {
		if r.Offset < from {
			continue
		}
		if len(page.Records) == maxPageRecords || (size > 0 && size+len(r.Body) > maxPageBytes) {
			return page
		}
		size += len(r.Body)
		page.Records = append(page.Records, r)
		page.Next = r.Offset + 1
	}
	return page
}
