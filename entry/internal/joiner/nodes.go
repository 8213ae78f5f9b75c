package joiner

import "fuchsiabridge.example/platform/storecaller"

// NodeCount returns about how many nodes there are: the holders of partitions as of the last lookup, or more by this node's part of the
// partitions if each of the holders has just one. It is 0 if it is not known.
func (j *Joiner) NodeCount() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	nodes := map[storecaller.Member]bool{}
	for _, m := range j.holders {
		nodes[m] = true
	}
	if len(nodes) == 0 || len(nodes) == len(j.holders) {
		return max(len(nodes), j.fleetSize)
	}
	return len(nodes)
}
