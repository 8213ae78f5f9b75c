package lab

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Conn is a caller's connection, on which requests are written field by field as given.
type Conn struct {
	net.Conn
	r *bufio.Reader
}

// Field is one header field; its name is written as it stands.
type Field struct{ Name, Value string }

// Answer is a complete answer.
type Answer struct {
	Status int
	Header http.Header
	Body   string
}

// Dial opens a caller's connection to a node.
func Dial(n *Node) (*Conn, error) {
	c, err := net.DialTimeout("tcp", n.Address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c, r: bufio.NewReader(c)}, nil
}

// Send sends a request with a body and reads the answer, both within a time.
func (c *Conn) Send(method, path string, fields []Field, body string, limit time.Duration) (Answer, error) {
	if err := c.SetDeadline(time.Now().Add(limit)); err != nil {
		return Answer{}, err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\n", method, path)
	for _, f := range fields {
		fmt.Fprintf(&b, "%s: %s\r\n", f.Name, f.Value)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	b.WriteString("\r\n")
	if _, err := io.WriteString(c.Conn, b.String()); err != nil {
		return Answer{}, err
	}
	if _, err := io.WriteString(c.Conn, body); err != nil {
		return Answer{}, err
	}
	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		return Answer{}, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: string(raw)}, err
}
