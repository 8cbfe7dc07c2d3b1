package soak_test

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// linkFault is how a proxy mistreats the bytes that pass it.
type linkFault struct {
	delay  time.Duration // Before each piece of bytes.
	silent bool          // Nothing passes towards the target.
	oneWay bool          // Nothing passes back.
}

// proxy passes connections on to a target on the loopback.
type proxy struct {
	address string
	target  string

	mutex  sync.Mutex
	fault  linkFault
	healed chan struct{} // Closed when the fault ends.
	conns  map[net.Conn]bool
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	p := &proxy{address: listener.Addr().String(), target: target, healed: make(chan struct{}), conns: map[net.Conn]bool{}}
	ctx, cancel := context.WithCancel(context.WithoutCancel(t.Context()))
	end := make(chan struct{})
	go func() {
		defer close(end)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.carry(ctx, conn)
		}
	}()
	t.Cleanup(func() {
		cancel()
		_ = listener.Close()
		p.reset()
		<-end
	})
	return p
}

func (p *proxy) carry(ctx context.Context, caller net.Conn) {
	var dialer net.Dialer
	target, err := dialer.DialContext(ctx, "tcp", p.target)
	if err != nil {
		_ = caller.Close()
		return
	}
	p.mutex.Lock()
	p.conns[caller], p.conns[target] = true, true
	p.mutex.Unlock()
	ended := make(chan struct{}, 2)
	go p.copy(ctx, target, caller, true, ended)
	go p.copy(ctx, caller, target, false, ended)
	<-ended
	_ = caller.Close()
	_ = target.Close()
	<-ended
	p.mutex.Lock()
	delete(p.conns, caller)
	delete(p.conns, target)
	p.mutex.Unlock()
}

func (p *proxy) copy(ctx context.Context, to io.Writer, from io.Reader, towards bool, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if !p.pass(ctx, towards) {
			return
		}
		if _, failed := to.Write(buffer[:n]); err != nil || failed != nil {
			return
		}
	}
}

// pass waits as the present fault says. It reports false at the end.
func (p *proxy) pass(ctx context.Context, towards bool) bool {
	for {
		p.mutex.Lock()
		fault, healed := p.fault, p.healed
		p.mutex.Unlock()
		blocked := (fault.silent && towards) || (fault.oneWay && !towards)
		var delay <-chan time.Time
		if !blocked {
			if fault.delay == 0 {
				return ctx.Err() == nil
			}
			delay = time.After(fault.delay)
		}
		select {
		case <-ctx.Done():
			return false
		case <-delay:
			return true
		case <-healed:
		}
	}
}

// set replaces the fault; what waits looks again.
func (p *proxy) set(fault linkFault) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.fault = fault
	close(p.healed)
	p.healed = make(chan struct{})
}

// reset closes all connections with a reset.
func (p *proxy) reset() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}
