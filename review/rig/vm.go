package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// vm is an entry VM: a process of the program under test with an address of its own.
type vm struct {
	name     string
	zone     string
	ip       string
	front    string
	ready    string
	settings string
	logFile  *os.File
	binary   string

	mutex   sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

// fleet starts VMs and ends them.
type fleet struct {
	dir    string
	binary string
	store  *store
	log    *record
	vms    []*vm
	block  int
	extra  string // Further lines of the settings.
	stores []*http.Server
}

// newFleet returns a fleet without VMs. Each run uses a block of loopback addresses of its own,
// whose ports are free.
func newFleet(dir, binary string, s *store, log *record) *fleet {
	f := &fleet{dir: dir, binary: binary, store: s, log: log, block: os.Getpid()}
	for ; ; f.block++ {
		listener, err := net.Listen("tcp", f.ip(0)+":8221")
		if err == nil {
			_ = listener.Close()
			return f
		}
	}
}

func (f *fleet) ip(i int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+(f.block>>8)%128, f.block%250+2, 10+i)
}

// add prepares a VM in a zone; it is started by start.
func (f *fleet) add(zone string, bootstrap bool) (*vm, error) {
	i := len(f.vms)
	v := &vm{name: fmt.Sprintf("front-%d", i+1), zone: zone, ip: f.ip(i), binary: f.binary}
	v.front, v.ready = v.ip+":8221", v.ip+":8224"
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: f.store.handler(v.name)}
	f.stores = append(f.stores, server)
	go func() { _ = server.Serve(listener) }()
	v.settings = filepath.Join(f.dir, v.name+".conf")
	lines := []string{
		"node_name=" + v.name, "role=entry", "machine_class=front", "serves=front,control", "ip=" + v.ip, "zone=" + zone, "region=qc",
		"zones.qc-a=qc", "zones.qc-b=qc", "zones.qc-c=qc", "listen.front=" + v.front, "listen.ready=" + v.ready, "listen.control=" + v.ip + ":8229",
		"internal_ports=7600,7615", fmt.Sprintf("seeds=%s:8229,%s:8229,%s:8229", f.ip(0), f.ip(1), f.ip(2)), fmt.Sprintf("bootstrap=%t", bootstrap), "counts_as_loss=false",
		"limits.cpu_share=0.4", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0",
		"discovery=platform", "entry=vip", "heartbeat_ms=1200", "contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,tenants,quota,platform",
		"tolerate.machines=1", "tolerate.zones=1", "tolerate.regions=0", "bounds.seed_lag_s=3", "bounds.reuse_after_s=2", "bounds.stable_window_ms=3000",
		"bounds.ack_ms=4000", "bounds.catch_up_s=4", "bounds.drain_ms=2000", "bounds.grace_s=8", "bounds.loss_slack_ms=200", "bounds.config_ms=2000",
		"bounds.rollback_slack_ms=250", "bounds.outer_ms=5000", "bounds.strict_revoke=false", "bounds.revoke_ms=5000", "bounds.budget_ratio=0.2",
		"bounds.budget_window_s=10", "bounds.budget_slack=58", "bounds.quota_window_s=8", "bounds.quota_overage=0.1", "bounds.quota_slack=11000",
		"bounds.recovery_s=12", "bounds.pass_ms=120", "bounds.retry_after_s=0", "bounds.fencing=true", "bounds.lease_ms=3000", "bounds.thaw_slack_ms=300",
		"bounds.ceiling_window_s=5", "bounds.ceiling_overage=1.1", "platform.address=" + listener.Addr().String(), "platform.form=kv", "platform.writes_per_s=400",
		"platform.reads_per_s=2000", "platform.history_s=20", "platform.value_bytes=1048576", "platform.ttl_min_ms=1000",
	}
	if err := os.WriteFile(v.settings, []byte(strings.Join(lines, "\n")+"\n"+f.extra), 0o600); err != nil {
		return nil, err
	}
	if v.logFile, err = os.Create(filepath.Join(f.dir, v.name+".log")); err != nil {
		return nil, err
	}
	f.vms = append(f.vms, v)
	return v, nil
}

// setSetting replaces lines of the settings file that begin with a name.
func (v *vm) setSetting(name, value string) error {
	text, err := os.ReadFile(v.settings)
	if err != nil {
		return err
	}
	lines := strings.Split(string(text), "\n")
	for i, line := range lines {
		if strings.HasPrefix(line, name+"=") {
			lines[i] = name + "=" + value
		}
	}
	return os.WriteFile(v.settings, []byte(strings.Join(lines, "\n")), 0o600)
}

// start starts the process with the command of the deploy file.
func (v *vm) start() error {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	c := exec.Command(v.binary, "--metrics-port", "9464")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "KUMQUATHITCH_NODE_FILE=" + v.settings}
	c.Stdout, c.Stderr = v.logFile, v.logFile
	if err := c.Start(); err != nil {
		return err
	}
	v.process, v.ended = c, make(chan struct{})
	go func(ended chan struct{}) {
		_ = c.Wait()
		close(ended)
	}(v.ended)
	return nil
}

func (v *vm) signal(s syscall.Signal) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	_ = v.process.Process.Signal(s)
}

// running reports whether the process has not ended.
func (v *vm) running() bool {
	v.mutex.Lock()
	ended := v.ended
	v.mutex.Unlock()
	select {
	case <-ended:
		return false
	default:
		return true
	}
}

func (v *vm) kill() {
	v.mutex.Lock()
	if v.process == nil {
		v.mutex.Unlock()
		return
	}
	ended := v.ended
	_ = v.process.Process.Signal(syscall.SIGCONT)
	_ = v.process.Process.Signal(syscall.SIGKILL)
	v.mutex.Unlock()
	<-ended
}

func (v *vm) isReady() bool {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	response, err := client.Get("http://" + v.ready + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all VMs are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, v := range f.vms {
		for !v.isReady() {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready after %s", v.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (f *fleet) end() {
	for _, v := range f.vms {
		v.kill()
		_ = v.logFile.Close()
	}
	for _, s := range f.stores {
		_ = s.Close()
	}
}
