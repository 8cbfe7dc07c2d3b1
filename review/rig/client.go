package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// call is one request of a client, and what came of it.
type call struct {
	id       string
	method   string
	host     string
	path     string
	key      string
	model    string
	tokens   string
	prefix   string
	body     string
	deadline time.Duration

	status   int
	text     string
	whole    bool // The answer was read to its end.
	err      error
	sentAt   time.Time
	endedAt  time.Time
	response http.Header
}

var lastCall atomic.Int64

func newID(prefix string) string {
	return fmt.Sprintf("%s%06d", prefix, lastCall.Add(1))
}

// send sends a call to a VM on a new connection and reads the answer.
func (c *call) send(log *record, front string) {
	c.sentAt = time.Now()
	defer func() { c.endedAt = time.Now() }()
	log.add("send request=%s to=%s path=%s model=%s", c.id, front, c.path, c.model)
	defer func() {
		log.add("answer request=%s status=%d whole=%t bytes=%d error=%v", c.id, c.status, c.whole, len(c.text), c.err)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", front)
	if err != nil {
		c.err = err
		return
	}
	defer func() { _ = conn.Close() }()
	deadline, _ := ctx.Deadline()
	_ = conn.SetDeadline(deadline)
	c.err = c.exchange(conn, bufio.NewReader(conn))
}

// exchange writes the call on a connection and reads the answer.
func (c *call) exchange(conn net.Conn, reader *bufio.Reader) error {
	if _, err := io.WriteString(conn, c.text0()); err != nil {
		return err
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	c.status, c.response = response.StatusCode, response.Header
	content, err := io.ReadAll(response.Body)
	c.text = string(content)
	c.whole = err == nil
	return err
}

// text0 is the request as it is sent.
func (c *call) text0() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n", c.method, c.path, c.host, c.id)
	for _, header := range [][2]string{{"Model", c.model}, {"Token-Count", c.tokens}, {"Prompt-Prefix", c.prefix}, {"Api-Key", c.key}} {
		if header[1] != "" {
			fmt.Fprintf(&b, "%s: %s\r\n", header[0], header[1])
		}
	}
	fmt.Fprintf(&b, "Deadline-Ms: %d\r\n", c.deadline.Milliseconds())
	if c.body != "" || c.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.body))
	}
	b.WriteString("\r\n" + c.body)
	return b.String()
}

// wholeStream is the body of a complete stream of a request.
func wholeStream(id string) string {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", n, piece(id, n))
	}
	return b.String()
}
