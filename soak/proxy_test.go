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

// proxyFault is what a proxy does to the bytes that it forwards.
type proxyFault struct {
	delay         time.Duration // Before each write.
	blockToTarget bool          // Forwards nothing to the target.
	blockToCaller bool          // Forwards nothing to the caller.
}

// proxy forwards TCP connections from a loopback address to a target.
type proxy struct {
	t       *testing.T
	ctx     context.Context // Ends with the test.
	address string
	target  string

	mutex        sync.Mutex
	listener     net.Listener
	accepting    chan struct{} // Closed when listener accepts no more connections.
	fault        proxyFault
	disturbances disturbances
	faultChanged chan struct{} // Closed when the fault is replaced.
	conns        map[net.Conn]bool
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	ctx, cancel := context.WithCancel(context.WithoutCancel(t.Context()))
	p := &proxy{t: t, ctx: ctx, address: "127.0.0.1:0", target: target, faultChanged: make(chan struct{}), conns: map[net.Conn]bool{}}
	p.listen()
	t.Cleanup(func() {
		cancel()
		p.refuseConnections()
	})
	return p
}

// listen accepts connections until refuseConnections is called.
func (p *proxy) listen() {
	listener, err := net.Listen("tcp", p.address)
	must.NoError(p.t, err)
	accepting := make(chan struct{})
	p.mutex.Lock()
	p.listener, p.accepting, p.address = listener, accepting, listener.Addr().String()
	p.mutex.Unlock()
	go func() {
		defer close(accepting)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.forward(p.ctx, conn)
		}
	}()
}

// refuseConnections resets all connections and refuses new ones until listen is called.
func (p *proxy) refuseConnections() {
	p.mutex.Lock()
	listener, accepting := p.listener, p.accepting
	p.mutex.Unlock()
	_ = listener.Close() // Fails only if it is closed already.
	<-accepting
	p.resetConnections()
}

func (p *proxy) forward(ctx context.Context, caller net.Conn) {
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

func (p *proxy) copy(ctx context.Context, to io.Writer, from io.Reader, toTarget bool, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if !p.waitToForward(ctx, toTarget) {
			return
		}
		if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

// waitToForward waits until the current fault lets bytes through. It reports false
// when ctx has ended.
func (p *proxy) waitToForward(ctx context.Context, toTarget bool) bool {
	for {
		p.mutex.Lock()
		fault, faultChanged := p.fault, p.faultChanged
		p.mutex.Unlock()
		blocked := (fault.blockToTarget && toTarget) || (fault.blockToCaller && !toTarget)
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
		case <-faultChanged:
		}
	}
}

// setFault replaces the fault, also for bytes that are waiting.
func (p *proxy) setFault(fault proxyFault) {
	p.disturbances.add()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.fault = fault
	close(p.faultChanged)
	p.faultChanged = make(chan struct{})
}

// resetConnections closes all connections with a TCP reset.
func (p *proxy) resetConnections() {
	p.disturbances.add()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for conn := range p.conns {
		resetConnection(conn)
	}
}

func resetConnection(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
