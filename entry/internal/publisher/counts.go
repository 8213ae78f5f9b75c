package publisher

// Counts are what a publisher has done since its start.
type Counts struct {
	// Versions counts the configurations that it was given, Differences those that it compressed for peers.
	Versions    int64 `json:"versions"`
	Differences int64 `json:"differences"`
	// Pieces and Bytes count what was sent to peers, before its encoding.
	Pieces int64 `json:"pieces"`
	Bytes  int64 `json:"bytes"`
	// Busy counts the calls that got no piece as all places were taken, and Referred those of them that were told of another node.
	Busy     int64 `json:"busy"`
	Referred int64 `json:"referred"`
	// Kept is the number of configurations that are kept now.
	Kept int `json:"kept"`
}

// Counts returns what the publisher has done since its start.
func (p *Publisher) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := p.counts
	counts.Kept = len(p.configurations)
	return counts
}

// countPiece counts a piece that is sent.
func (p *Publisher) countPiece(bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Pieces++
	p.counts.Bytes += int64(bytes)
}

// countBusy counts a call that gets no piece.
func (p *Publisher) countBusy(isReferred bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Busy++
	if isReferred {
		p.counts.Referred++
	}
}
