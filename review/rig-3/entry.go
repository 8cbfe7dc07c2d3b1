package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of all entry VMs, each of which has a loopback address of its own.
const (
	frontPort, readyPort, controlPort = 8221, 8224, 8229
	internalPort                      = 7600
)

// memoryMB is the memory of an entry VM, as on the small sites.
const memoryMB = 284

// vm is an entry VM: a process of the deploy file's command, started and watched by the platform's stand-in.
type vm struct {
	name, ip, zone string
	dir            string
	rec            *record
	settings       string

	mu      sync.Mutex
	process *exec.Cmd
	done    chan struct{} // Closed when the process has ended.
	stopped bool          // It is not to be started again.
	kills   int           // Ends for memory beyond the limit.
	exits   int           // Other ends that nobody asked for.
	peakMB  int
	asked   bool // A signal of the case ends the process.
}

// base returns a loopback network that depends on the process.
func base() string {
	return fmt.Sprintf("127.%d.%d.", 10+os.Getpid()>>8%200, os.Getpid()%250)
}

// newVM writes the settings of a VM.
func newVM(n int, zone string, seeds []string, storeAddress, dir string, rec *record, extra string) *vm {
	v := &vm{name: fmt.Sprintf("front-%s-%d", zone, n), ip: base() + strconv.Itoa(10+n), zone: zone, dir: dir, rec: rec}
	var list []string
	for _, ip := range seeds {
		list = append(list, fmt.Sprintf("%s:%d", ip, controlPort))
	}
	v.settings = filepath.Join(dir, v.name+".conf")
	text := fmt.Sprintf(`node_name=%s
role=entry
machine_class=front
serves=front,control
ip=%s
zone=%s
region=qc
zones.qc-a=qc
zones.qc-b=qc
zones.qc-c=qc
listen.front=%s:%d
listen.ready=%s:%d
listen.control=%s:%d
internal_ports=%d,7615
seeds=%s
bootstrap=true
counts_as_loss=false
limits.cpu_share=0.4
limits.cores=1
limits.memory_mb=%d
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,tenants,quota,platform
bounds.stable_window_ms=3000
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_ms=2000
bounds.budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_slack=58
bounds.quota_window_s=8
bounds.quota_overage=0.1
bounds.quota_slack=11000
bounds.recovery_s=12
bounds.fencing=true
bounds.lease_ms=3000
platform.address=%s
platform.form=kv
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.ttl_min_ms=1000
%s`, v.name, v.ip, zone, v.ip, frontPort, v.ip, readyPort, v.ip, controlPort, internalPort, strings.Join(list, ","), memoryMB, storeAddress, extra)
	check(os.WriteFile(v.settings, []byte(text), 0o600))
	return v
}

// front returns the address for clients.
func (v *vm) front() string { return fmt.Sprintf("%s:%d", v.ip, frontPort) }

// start starts the process, and starts it again whenever it ends.
func (v *vm) start() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.stopped {
		return
	}
	log, err := os.OpenFile(filepath.Join(v.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	p := exec.Command("target/kumquathitch-entry", "--metrics-port", "9464")
	p.Dir = root()
	p.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "KUMQUATHITCH_NODE_FILE=" + v.settings}
	p.Stdout, p.Stderr = log, log
	check(p.Start())
	_ = log.Close()
	v.process, v.done, v.asked = p, make(chan struct{}), false
	done := v.done
	go v.watchMemory(p.Process.Pid, done)
	go func() {
		defer func() {
			if c := recover(); c != nil {
				v.rec.add("%s is not started again: %v", v.name, c)
			}
		}()
		err := p.Wait()
		close(done)
		v.mu.Lock()
		again := !v.stopped
		if !v.asked && again {
			v.exits++
			v.rec.add("%s ended by itself: %v", v.name, err)
		}
		v.mu.Unlock()
		if !again {
			return
		}
		time.Sleep(300 * time.Millisecond)
		text, err := os.ReadFile(v.settings) // The settings in effect now: it is not the first start of the system.
		if err == nil {
			err = os.WriteFile(v.settings, []byte(strings.Replace(string(text), "bootstrap=true", "bootstrap=false", 1)), 0o600)
		}
		v.mu.Lock()
		again = !v.stopped
		v.mu.Unlock()
		if again && err == nil {
			v.start()
		}
	}()
}

// watchMemory kills a process that exceeds the memory of its machine, as the platform does.
func (v *vm) watchMemory(pid int, done chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(20 * time.Millisecond):
		}
		mb := residentMB(pid)
		v.mu.Lock()
		v.peakMB = max(v.peakMB, mb)
		over := mb > memoryMB && !v.asked
		if over {
			v.kills++
			v.asked = true
		}
		v.mu.Unlock()
		if over {
			v.rec.add("%s has %d MB of %d and is killed", v.name, mb, memoryMB)
			_ = syscall.Kill(pid, syscall.SIGKILL)
			return
		}
	}
}

// residentMB returns the memory of a process, without the pages of its program file.
func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024
		}
	}
	return 0
}

// signal sends a signal that ends the process, after which it is started again.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	v.asked = true
	p := v.process.Process
	v.mu.Unlock()
	_ = p.Signal(s)
}

// stop ends the process for good.
func (v *vm) stop() {
	v.mu.Lock()
	v.stopped, v.asked = true, true
	p, done := v.process, v.done
	v.mu.Unlock()
	if p == nil {
		return
	}
	_ = p.Process.Signal(syscall.SIGCONT)
	_ = p.Process.Kill()
	<-done
}

// ready reports whether the VM says that it is ready.
func (v *vm) ready() bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get(fmt.Sprintf("http://%s:%d/v1/readiness", v.ip, readyPort))
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == 200
}

// root returns the root of the repository.
func root() string {
	return os.Getenv("REVIEW_ROOT")
}
