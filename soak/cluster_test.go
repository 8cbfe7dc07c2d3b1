package soak_test

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"kumquathitch.example/kumquathitch/clock"
	"kumquathitch.example/kumquathitch/standin"
)

const (
	vmCount     = 3
	engineCount = 3
	// shutdownGrace is the time from SIGTERM until the platform kills a VM.
	shutdownGrace = 8 * time.Second
	// recoveryLimit is the users' requirement for the time until calls are served again.
	recoveryLimit = 12 * time.Second
)

var entryBinary string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	directory, err := os.MkdirTemp("", "kumquathitch-soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	entryBinary = filepath.Join(directory, "kumquathitch-entry")
	build := exec.Command("go", "build", "-o", entryBinary, "kumquathitch.example/kumquathitch/cmd/kumquathitch-entry")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s\n%v\n", output, err)
		return 1
	}
	return m.Run()
}

// cluster is a stand-in platform in this process with entry VMs in processes of their own.
type cluster struct {
	t             *testing.T
	store         *standin.Keyspace
	engines       []*standin.Instance
	engineProxies []*proxy // In the order of engines.
	vms           []*entryVM
	version       int // Version of the configuration.
	withdrawals   withdrawals

	storeDisturbances disturbances
}

// entryVM is a VM whose process can be restarted.
type entryVM struct {
	t            *testing.T
	name         string
	ip           string
	settingsFile string
	storeProxy   *proxy
	mutex        sync.Mutex
	restartMutex sync.Mutex // Held during a restart.
	process      *exec.Cmd
	log          *bytes.Buffer
	logStart     int // Length of the log when the process started.
	disturbances disturbances
}

// loopback returns the address of a VM. It depends on the process id, so that
// concurrent runs of these tests do not share ports.
func loopback(i int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()>>8%254, os.Getpid()%256, 10+i)
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{t: t, store: standin.NewKeyspace(clock.NewSystem())}
	t.Cleanup(func() {
		if t.Failed() {
			for _, v := range c.vms {
				t.Logf("%s:\n%s", v.name, v.log)
			}
		}
	})
	server := httptest.NewServer(standin.NewKeyspaceHandler(c.store))
	t.Cleanup(server.Close)
	for i := range engineCount {
		engine := standin.NewInstance(fmt.Sprintf("i-%d", i), "llm", "m")
		engine.ModelMB = map[string]float64{"m": 90}
		listener := httptest.NewServer(engine)
		t.Cleanup(listener.Close)
		t.Cleanup(engine.Close)
		engineProxy := newProxy(t, listener.Listener.Addr().String())
		c.engines, c.engineProxies = append(c.engines, engine), append(c.engineProxies, engineProxy)
		c.store.Put("servers/"+engine.ID, engine.Registration(engineProxy.address))
	}
	c.writeConfiguration()
	c.startVMs(vmCount, server.Listener.Addr().String())
	return c
}

// startVMs starts entry VMs before a store and waits until they are ready.
func (c *cluster) startVMs(count int, storeAddress string) {
	c.t.Helper()
	seeds := loopback(0) + ":7380," + loopback(1) + ":7380"
	for i := range count {
		v := &entryVM{t: c.t, name: fmt.Sprintf("entry-%d", i), ip: loopback(i), storeProxy: newProxy(c.t, storeAddress), log: &bytes.Buffer{}}
		v.settingsFile = filepath.Join(c.t.TempDir(), v.name+".conf")
		text := fmt.Sprintf("node_name=%s\nzone=zone-%d\nip=%s\ninternal_ports=7380,7381\nlisten.front=%s:8080\nlisten.ready=%s:8081\nplatform.address=%s\n"+
			"seeds=%s\nbootstrap=true\nbounds.grace_s=%d\nbounds.lease_ms=500\nbounds.fencing=true\nbounds.drain_ms=500\nbounds.budget_ratio=0.2\nbounds.budget_slack=60\n",
			v.name, i, v.ip, v.ip, v.ip, v.storeProxy.address, seeds, int(shutdownGrace.Seconds()))
		must.NoError(c.t, os.WriteFile(v.settingsFile, []byte(text), 0o600))
		v.start()
		c.t.Cleanup(v.kill)
		c.vms = append(c.vms, v)
	}
	for _, v := range c.vms {
		c.waitFor(v.name+" to become ready", v.isReady)
	}
}

// writeConfiguration writes the next version of the configuration. Each version has
// an API key of its own beside the common one.
func (c *cluster) writeConfiguration() {
	c.version++
	c.store.Put("op/config", fmt.Appendf(nil, `{"version":%d,"routes":[
 {"name":"book","host":"a.example","path_prefix":"/book/","kind":"unsafe","timeout_ms":4000,"target_latency_ms":300,"service":"llm","max_attempts":1},
 {"name":"read","host":"a.example","path_prefix":"/read/","kind":"safe","timeout_ms":4000,"target_latency_ms":300,"service":"llm","max_attempts":2},
 {"name":"plan","host":"a.example","path_prefix":"/stream/","kind":"stream","resumable":true,"timeout_ms":4000,"target_latency_ms":300,"gap_target_ms":100,"service":"llm","max_attempts":2}],
 "services":[{"name":"llm","max_conns":100,"engine":{"slots":4,"weights_mb":200,"adapter_slots":8,"loads_per_s":5,"models":[{"name":"m","weights_mb":90,"load_s":1}]}}],
 "tenants":[{"name":"crew","api_keys":["%s","common"],"unit":"token","plain_tokens":10,"rate_per_s":100000,"burst":100000}]}`, c.version, c.currentKey()))
}

// currentKey returns the API key that only the newest configuration contains.
func (c *cluster) currentKey() string {
	return fmt.Sprintf("key-%d", c.version)
}

// waitFor polls a condition and fails the test when it does not hold within recoveryLimit.
func (c *cluster) waitFor(what string, condition func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(recoveryLimit)
	ticker := time.NewTicker(30 * time.Millisecond)
	defer ticker.Stop()
	for !condition() {
		if !time.Now().Before(deadline) {
			c.t.Fatalf("timed out after %s waiting for %s", recoveryLimit, what)
		}
		<-ticker.C
	}
}

func (v *entryVM) start() {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.disturbances.add()
	v.process = exec.Command(entryBinary)
	v.process.Env = append(os.Environ(), "KUMQUATHITCH_NODE_FILE="+v.settingsFile)
	v.process.Stdout, v.process.Stderr = v.log, v.log
	v.logStart = v.log.Len()
	must.NoError(v.t, v.process.Start())
}

func (v *entryVM) signal(signal syscall.Signal) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.disturbances.add()
	_ = v.process.Process.Signal(signal) // The process may have exited.
}

// kill ends the process with SIGKILL, also when it is stopped.
func (v *entryVM) kill() {
	v.signal(syscall.SIGCONT)
	v.signal(syscall.SIGKILL)
	_ = v.process.Wait() // Always an error after SIGKILL.
}

// terminate ends the process with SIGTERM and checks that it exits within the
// shutdown grace and without an error.
func (v *entryVM) terminate() {
	start := time.Now()
	v.signal(syscall.SIGTERM)
	if err := v.process.Wait(); err != nil && v.hasStarted() {
		v.t.Errorf("%s exited with an error after SIGTERM: %v", v.name, err)
	}
	if took := time.Since(start); took > shutdownGrace {
		v.t.Errorf("%s took %s to exit after SIGTERM", v.name, took)
	}
}

// hasStarted reports whether the process has logged its first line. Before that it
// serves no calls, and SIGTERM ends it without a clean exit.
func (v *entryVM) hasStarted() bool {
	return strings.Contains(v.log.String()[v.logStart:], "msg=starting")
}

func (v *entryVM) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + v.ip + ":8081/v1/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
