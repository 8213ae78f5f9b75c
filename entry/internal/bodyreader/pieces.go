package bodyreader

import "bytes"

const (
	// firstPieceBytes is the size of the first piece, pieceBytes that of the further ones.
	firstPieceBytes = 8 << 10
	pieceBytes      = 32 << 10
)

// Pieces collects a body of unknown length without copying what it has. The zero value is empty.
type Pieces struct {
	full   [][]byte
	last   []byte
	length int
}

// Room returns where to read the next bytes to.
func (p *Pieces) Room() []byte {
	if len(p.last) == cap(p.last) {
		size := pieceBytes
		if p.last == nil {
			size = firstPieceBytes
		} else {
			p.full = append(p.full, p.last)
		}
		p.last = make([]byte, 0, size)
	}
	return p.last[len(p.last):cap(p.last)]
}

// Add notes that n bytes were read.
func (p *Pieces) Add(n int) {
	p.last = p.last[:len(p.last)+n]
	p.length += n
}

// Len returns the number of bytes collected.
func (p *Pieces) Len() int { return p.length }

// Join returns the body.
func (p *Pieces) Join() []byte {
	if len(p.full) == 0 {
		return p.last
	}
	return bytes.Join(append(p.full, p.last), nil)
}
