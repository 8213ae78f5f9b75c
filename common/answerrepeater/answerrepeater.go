// Package answerrepeater serves answers without end, for tests of the code that reads answers.
package answerrepeater

import (
	"context"
	"io"
	"net"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Answer is an answer by its beginning, and the part that follows again and again until the client closes. If the part is empty, the
// connection stays silent.
type Answer struct {
	Head string
	Part string
}

// Server answers all connections in the same way.
type Server struct {
	// Address is where the server listens, Written the number of bytes that it has written.
	Address string
	Written atomic.Int64

	// What a server allocates for each write would count as the memory of the tested process.
	head, part []byte
}

// Serve begins to serve an answer until the context ends.
func Serve(ctx context.Context, a Answer) (*Server, error) {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listening")
	}
	context.AfterFunc(ctx, func() { _ = l.Close() })
	s := &Server{Address: l.Addr().String(), head: []byte(a.Head), part: []byte(a.Part)}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.answer(ctx, conn)
		}
	}()
	return s, nil
}

// answer writes the answer to one connection, and closes it after the client or when the context ends.
func (s *Server) answer(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer func() {
		if stop() {
			_ = conn.Close()
		}
	}()
	for next := s.head; ; next = s.part {
		n, err := conn.Write(next)
		s.Written.Add(int64(n))
		if err != nil {
			return
		}
		if len(s.part) == 0 {
			break
		}
	}
	_, _ = io.Copy(io.Discard, conn)
}
