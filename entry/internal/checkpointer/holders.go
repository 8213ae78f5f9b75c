package checkpointer

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/heartbeater"
)

type rankedPeer struct {
	peer    heartbeater.Peer
	isLocal bool
	score   uint64
}

// Holders returns the alive and suspect peers in order of preference for holding a draft's
// checkpoint: peers outside the data centre local first, then those in it, each group ordered by
// rendezvous hashing.
func Holders(peers []heartbeater.Peer, id identifier.DraftID, local identifier.DataCentre) []heartbeater.Peer {
	var ranked []rankedPeer
	for _, p := range peers {
		if p.State == heartbeater.StateAlive || p.State == heartbeater.StateSuspect {
			ranked = append(ranked, rankedPeer{p, p.DataCentre == local, score(id, p.Node)})
		}
	}
	slices.SortFunc(ranked, compareRanked)
	holders := make([]heartbeater.Peer, 0, len(ranked))
	for _, r := range ranked {
		holders = append(holders, r.peer)
	}
	return holders
}

func compareRanked(a, b rankedPeer) int {
	if a.isLocal == b.isLocal {
		return cmp.Compare(b.score, a.score)
	}
	if a.isLocal {
		return 1
	}
	return -1
}

func score(id identifier.DraftID, node identifier.NodeID) uint64 {
	key := binary.BigEndian.AppendUint64([]byte(node), xxhash.Sum64String(string(id)))
	return xxhash.Sum64(key)
}
