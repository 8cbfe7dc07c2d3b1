package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var lastID atomic.Uint64

// newID returns the id of one client attempt.
func newID() string { return fmt.Sprintf("%016x", 0xabc000000000+lastID.Add(1)) }

// request is one client attempt.
type request struct {
	id, method, path string
	header           []string // Lines beyond those that all requests have.
	body             string
	deadline         time.Duration
	key              string // apiKey if empty.
}

// outcome is what a client saw of a request.
type outcome struct {
	status   int    // 0 without an answer.
	body     string // As far as it came.
	whole    bool   // The answer is complete.
	signed   bool
	kept     bool // The connection had carried a request before.
	closed   bool // The connection was closed without a whole answer.
	rejected string
}

// connection is a connection of a client, kept for many requests.
type connection struct {
	conn   net.Conn
	reader *bufio.Reader
	used   int
}

const (
	host     = "ficu95.example"
	apiKey   = "i9n73hh2b9wu3fexd9dn" // Of the ordinary clients.
	otherKey = "n2ctnfzs989anu6wsjnb" // Of another tenant.
)

func dial(address string) (*connection, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{conn: c, reader: bufio.NewReader(c)}, nil
}

// text returns the bytes of a request.
func (q *request) text() string {
	key := apiKey
	if q.key != "" {
		key = q.key
	}
	lines := []string{
		q.method + " " + q.path + " HTTP/1.1", "Host: " + host, "Request-Id: " + q.id,
		fmt.Sprintf("Deadline-Ms: %d", q.deadline.Milliseconds()), "Api-Key: " + key,
	}
	lines = append(lines, q.header...)
	if q.method == "POST" {
		lines = append(lines, fmt.Sprintf("Content-Length: %d", len(q.body)))
	}
	return strings.Join(lines, "\r\n") + "\r\n\r\n" + q.body
}

// send sends a request and waits for its answer until its deadline.
func (c *connection) send(q request) outcome {
	o := outcome{kept: c.used > 0}
	c.used++
	_ = c.conn.SetDeadline(time.Now().Add(q.deadline + 500*time.Millisecond))
	if _, err := io.WriteString(c.conn, q.text()); err != nil {
		o.closed = true
		return o
	}
	received := c.receive(q)
	received.kept = o.kept
	return received
}

// receive waits for the answer to a request that was sent.
func (c *connection) receive(q request) (o outcome) {
	r, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		o.closed = !isTimeout(err)
		return o
	}
	body, err := io.ReadAll(r.Body)
	o.status, o.body, o.whole, o.signed = r.StatusCode, string(body), err == nil, r.Header.Get("Response-Signature") != ""
	o.closed = err != nil && !isTimeout(err)
	if r.Close {
		_ = c.conn.Close()
		c.conn = nil
	}
	return o
}

func isTimeout(err error) bool {
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}

func (c *connection) close() {
	if c != nil && c.conn != nil {
		_ = c.conn.Close()
	}
}
