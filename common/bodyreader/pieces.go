package bodyreader

import "sync"

const (
	// firstPieceBytes is the size of the first piece, pieceBytes that of the further ones.
	firstPieceBytes = 8 << 10
	pieceBytes      = 32 << 10
)

// Pieces that are not in use. Bodies without end would otherwise fill the heap with garbage faster than it is collected.
var (
	firstPieces = piecePool{size: firstPieceBytes}
	nextPieces  = piecePool{size: pieceBytes}
)

// piecePool holds pieces of one size.
type piecePool struct {
	size int
	pool sync.Pool
}

// take returns an empty piece.
func (p *piecePool) take() *[]byte {
	piece, ok := p.pool.Get().(*[]byte)
	if !ok {
		created := make([]byte, 0, p.size)
		return &created
	}
	*piece = (*piece)[:0]
	return piece
}

// pieces collects a body of unknown length without copying what it has. The zero value is full.
type pieces struct {
	all []*[]byte
	// length is the number of bytes collected, capacity the number that there is room for.
	length   int
	capacity int
}

// isFull reports whether there is no room left.
func (p *pieces) isFull() bool { return p.length == p.capacity }

// grow makes room for more bytes.
func (p *pieces) grow() {
	pool := &nextPieces
	if len(p.all) == 0 {
		pool = &firstPieces
	}
	piece := pool.take()
	p.all = append(p.all, piece)
	p.capacity += cap(*piece)
}

// room returns where to read the next bytes to.
func (p *pieces) room() []byte {
	last := *p.all[len(p.all)-1]
	return last[len(last):cap(last)]
}

// add notes that n bytes were read.
func (p *pieces) add(n int) {
	last := p.all[len(p.all)-1]
	*last = (*last)[:len(*last)+n]
	p.length += n
}

// join returns the body.
func (p *pieces) join() []byte {
	body := make([]byte, 0, p.length)
	for _, piece := range p.all {
		body = append(body, *piece...)
	}
	return body
}

// release makes the pieces available to other bodies.
func (p *pieces) release() {
	for _, piece := range p.all {
		if cap(*piece) == firstPieceBytes {
			firstPieces.pool.Put(piece)
		} else {
			nextPieces.pool.Put(piece)
		}
	}
	p.all = nil
}
