package answerlimiter

import "net"

// Conn is a connection on which messages arrive. What was read of the current one counts as held.
type Conn struct {
	net.Conn
	answer *Answer
	// read counts the bytes of the current message.
	read int
}

// NewConn returns a connection that keeps to the limiter, and is closed if its message is given up. factor is the number of bytes that are
// held for each byte of a message.
func (l *Limiter) NewConn(c net.Conn, factor int) *Conn {
	return &Conn{Conn: c, answer: l.Open(Source(c.RemoteAddr().String()), factor, func() { _ = c.Close() })}
}

// Read reads a part of a message.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.read += n
		if limit := c.answer.Hold(c.read); limit != nil {
			return 0, limit
		}
	}
	return n, err
}

// EndMessage notes that a message was read completely, by the goroutine that reads.
func (c *Conn) EndMessage() {
	c.read = 0
	c.answer.Close()
}

// Close closes the connection, which holds nothing any more.
func (c *Conn) Close() error {
	c.answer.Close()
	return c.Conn.Close()
}
