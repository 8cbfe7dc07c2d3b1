package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
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

// Ports of the VMs, which are the same on all of them. Each VM has a loopback address of
// its own.
const (
	frontPort   = 8221
	readyPort   = 8224
	controlPort = 8229
	peerPort    = 7600
	metricsPort = 9464
)

// entryCommand is the command of the deploy file, which runs in the root of the repository.
var entryCommand = []string{"target/kumquathitch-entry", "--metrics-port", "9464"}

var zones = []string{"qc-a", "qc-a", "qc-a", "qc-b", "qc-b", "qc-b", "qc-b", "qc-c", "qc-c"}

// vm is an entry VM: one process of the project.
type vm struct {
	name, zone, ip string
	settings       string
	log            *os.File
	mutex          sync.Mutex
	process        *exec.Cmd
	exited         chan struct{}
}

// fleet is the nine VMs of a small deployment.
type fleet struct {
	vms       []*vm
	record    *record
	directory string
}

// newFleet writes the settings of the VMs, without starting them.
func newFleet(rec *record, storeAddress string) (*fleet, error) {
	directory, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: rec, directory: directory}
	base, err := freeAddresses(len(zones))
	if err != nil {
		return nil, err
	}
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%d", base, 10+3*i, controlPort))
	}
	for i, zone := range zones {
		v := &vm{name: fmt.Sprintf("front-%s-%d", zone, i), zone: zone, ip: fmt.Sprintf("%s.%d", base, 10+i)}
		v.settings = filepath.Join(directory, v.name+".conf")
		if err := os.WriteFile(v.settings, []byte(v.settingsText(storeAddress, strings.Join(seeds, ","))), 0o600); err != nil {
			return nil, err
		}
		if v.log, err = os.Create(filepath.Join(directory, v.name+".log")); err != nil {
			return nil, err
		}
		f.vms = append(f.vms, v)
	}
	return f, nil
}

// freeAddresses returns the first three numbers of loopback addresses on which the ports
// of the VMs are free.
func freeAddresses(count int) (string, error) {
	for range 50 {
		base := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		free := true
		for i := range count {
			for _, port := range []int{frontPort, readyPort, peerPort, metricsPort} {
				listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", base, 10+i, port))
				if err != nil {
					free = false
					continue
				}
				_ = listener.Close()
			}
		}
		if free {
			return base, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

// settingsText returns the settings of the page about running, with the figures of the
// small site.
func (v *vm) settingsText(storeAddress, seeds string) string {
	lines := []string{
		"node_name=" + v.name, "role=entry", "machine_class=front", "serves=front,control", "ip=" + v.ip, "zone=" + v.zone, "region=qc",
		"zones.qc-a=qc", "zones.qc-b=qc", "zones.qc-c=qc",
		fmt.Sprintf("listen.front=%s:%d", v.ip, frontPort), fmt.Sprintf("listen.ready=%s:%d", v.ip, readyPort), fmt.Sprintf("listen.control=%s:%d", v.ip, controlPort),
		fmt.Sprintf("internal_ports=%d,%d", peerPort, peerPort+15), "seeds=" + seeds, "bootstrap=true", "counts_as_loss=false",
		"limits.cpu_share=0.4", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0",
		"discovery=platform", "entry=vip", "heartbeat_ms=1200", "contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,tenants,quota,platform",
		"tolerate.machines=1", "tolerate.zones=1", "tolerate.regions=0",
		"bounds.seed_lag_s=3", "bounds.reuse_after_s=2", "bounds.stable_window_ms=3000", "bounds.ack_ms=4000", "bounds.catch_up_s=4", "bounds.drain_ms=2000",
		"bounds.grace_s=8", "bounds.loss_slack_ms=200", "bounds.config_ms=2000", "bounds.rollback_slack_ms=250", "bounds.outer_ms=5000", "bounds.strict_revoke=false",
		"bounds.revoke_ms=5000", "bounds.budget_ratio=0.2", "bounds.budget_window_s=10", "bounds.budget_slack=58", "bounds.quota_window_s=8",
		"bounds.quota_overage=0.1", "bounds.quota_slack=11000", "bounds.recovery_s=12", "bounds.pass_ms=120", "bounds.retry_after_s=0", "bounds.fencing=true",
		"bounds.lease_ms=3000", "bounds.thaw_slack_ms=300", "bounds.ceiling_window_s=5", "bounds.ceiling_overage=1.1",
		"platform.address=" + storeAddress, "platform.form=kv", "platform.writes_per_s=400", "platform.reads_per_s=2000", "platform.history_s=20",
		"platform.value_bytes=1048576", "platform.ttl_min_ms=1000",
	}
	return strings.Join(lines, "\n") + "\n"
}

func (v *vm) start() error {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	process := exec.Command(entryCommand[0], entryCommand[1:]...)
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "KUMQUATHITCH_NODE_FILE=" + v.settings}
	process.Stdout, process.Stderr = v.log, v.log
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	v.process, v.exited = process, exited
	go func() { _ = process.Wait(); close(exited) }()
	return nil
}

// kill ends the process at once, as a loss of power does.
func (v *vm) kill() {
	v.mutex.Lock()
	process, exited := v.process, v.exited
	v.mutex.Unlock()
	if process == nil {
		return
	}
	_ = process.Process.Kill()
	<-exited
}

func (v *vm) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/v1/readiness", v.ip, readyPort))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// start starts all VMs and waits until they are ready.
func (f *fleet) start() error {
	for _, v := range f.vms {
		if err := v.start(); err != nil {
			return err
		}
	}
	return f.awaitReady()
}

func (f *fleet) awaitReady() error {
	deadline := time.Now().Add(15 * time.Second)
	for _, v := range f.vms {
		for !v.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after 15 s", v.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.record.printf("all %d VMs are ready", len(f.vms))
	return nil
}

// end kills all VMs. Their logs stay only if keep is set.
func (f *fleet) end(keep bool) {
	for _, v := range f.vms {
		v.kill()
		_ = v.log.Close()
	}
	if !keep {
		_ = os.RemoveAll(f.directory)
	}
}

func (f *fleet) any() *vm {
	return f.vms[rand.IntN(len(f.vms))]
}
