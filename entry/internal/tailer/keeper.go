package tailer

import (
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/platformcaller"
)

const (
	// Bounds of the records kept for peers.
	keptRecords = 8192
	keptBytes   = 4 << 20
	// Bounds of one answer to a peer.
	answerRecords = 1000
	answerBytes   = 256 << 10
)

// keeper holds the newest records, without a hole, for peers that lack them.
type keeper struct {
	records []platformcaller.Record
	bytes   int
}

func (k *keeper) keep(r platformcaller.Record) {
	if n := len(k.records); n > 0 && r.Offset <= k.records[n-1].Offset {
		return
	}
	k.records = append(k.records, r)
	k.bytes += len(r.Body)
	drop := 0
	for len(k.records)-drop > keptRecords || (k.bytes > keptBytes && len(k.records)-drop > 1) {
		k.bytes -= len(k.records[drop].Body)
		drop++
	}
	k.records = k.records[drop:]
}

func (k *keeper) clear() { k.records, k.bytes = nil, 0 }

// page returns the kept records from an offset on; end is the offset after the newest.
func (k *keeper) page(from, end identifier.Offset) platformcaller.Page {
	page := platformcaller.Page{Next: from, First: end, End: end}
	if len(k.records) > 0 {
		page.First = k.records[0].Offset
	}
	size := 0
	for _, r := range k.records {
		if r.Offset < from {
			continue
		}
		if len(page.Records) == answerRecords || (size > 0 && size+len(r.Body) > answerBytes) {
			return page
		}
		size += len(r.Body)
		page.Records = append(page.Records, r)
		page.Next = r.Offset + 1
	}
	return page
}
