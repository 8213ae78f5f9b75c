package checkpointer

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/heartbeater"
)

type ranked struct {
	peer heartbeater.Peer
	near bool
	rank uint64
}

// Holders returns the live peers in the order in which they are to hold a draft's
// checkpoint: by rendezvous hashing, those of another data centre than near before those of it.
func Holders(peers []heartbeater.Peer, id identifier.DraftID, near identifier.DataCentre) []heartbeater.Peer {
	var list []ranked
	for _, p := range peers {
		if p.State == heartbeater.StateAlive || p.State == heartbeater.StateSuspect {
			list = append(list, ranked{p, p.DataCentre == near, rank(id, p.Node)})
		}
	}
	slices.SortFunc(list, compare)
	holders := make([]heartbeater.Peer, 0, len(list))
	for _, r := range list {
		holders = append(holders, r.peer)
	}
	return holders
}

func compare(a, b ranked) int {
	if a.near == b.near {
		return cmp.Compare(b.rank, a.rank)
	}
	if a.near {
		return 1
	}
	return -1
}

func rank(id identifier.DraftID, node identifier.NodeID) uint64 {
	key := binary.BigEndian.AppendUint64([]byte(node), xxhash.Sum64String(string(id)))
	return xxhash.Sum64(key)
}
