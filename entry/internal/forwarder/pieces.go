package forwarder

import "bytes"

// pieceBytes is the size of a piece after the first one, which has readBufferBytes.
const pieceBytes = 64 << 10

// pieces collects a body of unknown length without copying what it has.
type pieces struct {
	full   [][]byte
	last   []byte
	length int
}

// room returns where to read the next bytes to.
func (p *pieces) room() []byte {
	if len(p.last) == cap(p.last) {
		size := pieceBytes
		if p.last == nil {
			size = readBufferBytes
		} else {
			p.full = append(p.full, p.last)
		}
		p.last = make([]byte, 0, size)
	}
	return p.last[len(p.last):cap(p.last)]
}

// add notes that n bytes were read.
func (p *pieces) add(n int) {
	p.last = p.last[:len(p.last)+n]
	p.length += n
}

// join returns the body.
func (p *pieces) join() []byte {
	if len(p.full) == 0 {
		return p.last
	}
	return bytes.Join(append(p.full, p.last), nil)
}
