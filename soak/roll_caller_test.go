package soak_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// stockTimeout is the timeout of the route, and the callers' deadline.
	stockTimeout = 8 * time.Second
	// hangTimeout is the time after which a caller stops waiting for the end of a connection.
	hangTimeout = stockTimeout + 2*time.Second
)

// rollCall is one call as its caller saw it.
type rollCall struct {
	id       string
	kind     string // Of its connection.
	vm       *entryVM
	delay    time.Duration // Of the connection, in each direction.
	first    bool          // On its connection.
	opened   time.Time     // Of the connection.
	readFrom time.Time     // The caller does not read before.
	sent     time.Time     // First byte.
	lastByte time.Time
	ended    time.Time // End of the response or the connection.
	status   int       // 0 without the head of a response.
	body     string
	err      error // Nil if the response is complete.
	left     bool  // The caller left since the soak had ended.
}

// rollCaller is a caller with one connection at a time.
type rollCaller struct {
	roll   *roll
	name   string
	vm     *entryVM
	random *rand.Rand
	kept   bool // Keeps connections.
	// stubborn callers send another call after a response with "Connection: close".
	stubborn bool
	conn     *delayedConn
	reader   *bufio.Reader
	opened   time.Time
	readFrom time.Time
	used     bool // The connection has carried a call.
	calls    int
}

// open opens a connection if there is none. It reports false if the VM accepts none.
func (c *rollCaller) open(ctx context.Context) bool {
	if c.conn != nil {
		return true
	}
	delay := time.Duration(3+c.random.IntN(47)) * time.Millisecond
	readFrom := time.Now()
	if c.roll.profile.early {
		readFrom = readFrom.Add(time.Duration(c.random.IntN(1400)) * time.Millisecond)
	}
	conn, err := dialDelayed(ctx, c.vm.ip+":8080", delay, readFrom)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.opened, c.readFrom, c.used = conn, bufio.NewReader(conn), time.Now(), readFrom, false
	return true
}

func (c *rollCaller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// callRepeatedly calls until ctx ends.
func (c *rollCaller) callRepeatedly(ctx context.Context) {
	defer c.close()
	for ctx.Err() == nil {
		if c.roll.avoids(c.vm) || !c.open(ctx) {
			c.close()
			waitUntil(ctx, time.Now().Add(50*time.Millisecond))
			continue
		}
		c.call(ctx, "call")
		waitUntil(ctx, time.Now().Add(time.Duration(c.random.IntN(60))*time.Millisecond))
	}
}

// call makes one call on the open connection.
func (c *rollCaller) call(ctx context.Context, prefix string) {
	c.calls++
	result := rollCall{id: fmt.Sprintf("%s-%s-%d", prefix, c.name, c.calls), kind: c.name, vm: c.vm, delay: c.conn.delay, first: !c.used, opened: c.opened, readFrom: c.readFrom}
	c.used = true
	conn := c.conn
	leave := context.AfterFunc(ctx, func() { _ = conn.Close() })
	closes := c.exchange(&result)
	result.ended = time.Now()
	result.left = !leave() || errors.Is(result.err, net.ErrClosed)
	c.roll.record(result)
	if result.err != nil || !c.kept || c.roll.profile.early || (closes && !c.stubborn) {
		c.close()
	}
}

// exchange sends a call and reads its response. It reports whether the response closes the
// connection.
func (c *rollCaller) exchange(result *rollCall) bool {
	result.sent = time.Now()
	for i, segment := range c.segments(result.id) {
		if i > 0 {
			waitUntil(context.Background(), time.Now().Add(time.Duration(1+c.random.IntN(40))*time.Millisecond))
		}
		result.lastByte = time.Now()
		if _, result.err = c.conn.Write([]byte(segment)); result.err != nil {
			return true
		}
	}
	if c.roll.profile.early {
		_, _ = c.conn.Write([]byte("POST /stock/")) // The start of a call that is never sent.
	}
	_ = c.conn.SetReadDeadline(result.sent.Add(hangTimeout))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		result.err = err
		return true
	}
	defer func() { _ = response.Body.Close() }()
	result.status = response.StatusCode
	body, err := io.ReadAll(response.Body)
	result.body, result.err = string(body), err
	return response.Close
}

// segments returns a call in one to four parts, with a length or in chunks.
func (c *rollCaller) segments(id string) []string {
	body := strings.Repeat("x", 1+c.random.IntN(1200))
	head := fmt.Sprintf("POST /stock/%s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\nApi-Key: common\r\nDeadline-Ms: %d\r\nModel: m\r\nToken-Count: 100,10\r\n",
		id, id, stockTimeout.Milliseconds())
	if c.random.IntN(2) == 0 {
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	} else {
		head += "Transfer-Encoding: chunked\r\n\r\n"
		cut := c.random.IntN(len(body))
		body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body)-cut, body[cut:])
		if cut > 0 {
			body = fmt.Sprintf("%x\r\n%s\r\n", cut, strings.Repeat("x", cut)) + body
		}
	}
	switch c.random.IntN(4) {
	case 0:
		cut := 1 + c.random.IntN(len(head)-1)
		return []string{head[:cut], head[cut:] + body}
	case 1:
		cut := c.random.IntN(len(body))
		return []string{head, body[:cut], body[cut:]}
	case 2:
		return []string{head, body}
	}
	return []string{head + body}
}
