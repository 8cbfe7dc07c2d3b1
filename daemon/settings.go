package daemon

import (
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"go.uber.org/zap/zapcore"

	"kumquathitch.example/kumquathitch"
)

// Settings are the flags and environment variables of one entry VM. Fields are
// unparsed strings, so that Parse can report all problems at once.
type Settings struct {
	Name           string   `arg:"--name,env:KUMQUATHITCH_NAME" help:"name of this VM, unique in the fleet"`
	DataCentre     string   `arg:"--data-centre,env:KUMQUATHITCH_DATA_CENTRE" help:"data centre of this VM"`
	Listen         string   `arg:"--listen,env:KUMQUATHITCH_LISTEN" help:"IP address and port for callers [default: 127.0.0.1:8080]"`
	PeerListen     string   `arg:"--peer-listen,env:KUMQUATHITCH_PEER_LISTEN" help:"IP address and port for other VMs [default: 127.0.0.1:7100]"`
	Platform       string   `arg:"--platform,env:KUMQUATHITCH_PLATFORM" help:"IP address and port of the platform's key-value service"`
	Peers          []string `arg:"--peer,separate,env:KUMQUATHITCH_PEERS" help:"IP address and port of a VM to ask when the platform does not answer; may be repeated"`
	OTLPEndpoint   string   `arg:"--otlp-endpoint,env:KUMQUATHITCH_OTLP_ENDPOINT" help:"IP address and port to send spans to over OTLP/HTTP; empty for none"`
	LogLevel       string   `arg:"--log-level,env:KUMQUATHITCH_LOG_LEVEL" help:"debug, info, warn or error [default: info]"`
	DrainTimeout   string   `arg:"--drain-timeout,env:KUMQUATHITCH_DRAIN_TIMEOUT" help:"longest wait for requests at shutdown [default: 5m]"`
	StoreTimeout   string   `arg:"--store-timeout,env:KUMQUATHITCH_STORE_TIMEOUT" help:"how long a call of the store may take [default: 500ms]"`
	ClockError     string   `arg:"--clock-error,env:KUMQUATHITCH_CLOCK_ERROR" help:"largest difference between the wall clocks of two VMs [default: 1s]"`
	ClockDrift     string   `arg:"--clock-drift,env:KUMQUATHITCH_CLOCK_DRIFT" help:"largest relative error of a clock's speed [default: 0.001]"`
	MessageDelay   string   `arg:"--message-delay,env:KUMQUATHITCH_MESSAGE_DELAY" help:"longest time between sending an order and its arrival [default: 30s]"`
	SlotLease      string   `arg:"--slot-lease,env:KUMQUATHITCH_SLOT_LEASE" help:"lease of the leased part of a rate slot [default: 30s]"`
	FloorLease     string   `arg:"--floor-lease,env:KUMQUATHITCH_FLOOR_LEASE" help:"lease of the floor part of a rate slot [default: 24h]"`
	LoanTerm       string   `arg:"--loan-term,env:KUMQUATHITCH_LOAN_TERM" help:"term of a loan of rate between VMs [default: 5s]"`
	Heartbeat      string   `arg:"--heartbeat,env:KUMQUATHITCH_HEARTBEAT" help:"interval of heartbeats between VMs [default: 1s]"`
	SuspectAfter   string   `arg:"--suspect-after,env:KUMQUATHITCH_SUSPECT_AFTER" help:"time without heartbeats after which a VM is suspected [default: 3s]"`
	DeadAfter      string   `arg:"--dead-after,env:KUMQUATHITCH_DEAD_AFTER" help:"time without heartbeats after which a VM counts as dead [default: 10s]"`
	LeavingGrace   string   `arg:"--leaving-grace,env:KUMQUATHITCH_LEAVING_GRACE" help:"how long a leaving upstream may still get new work [default: 2s]"`
	ReportMaxAge   string   `arg:"--report-max-age,env:KUMQUATHITCH_REPORT_MAX_AGE" help:"age at which a load report is no longer used [default: 5s]"`
	FingerprintTTL string   `arg:"--fingerprint-ttl,env:KUMQUATHITCH_FINGERPRINT_TTL" help:"how long the fingerprint of a crashing request is kept [default: 1h]"`
	MemoryMB       string   `arg:"--memory-mb,env:KUMQUATHITCH_MEMORY_MB" help:"memory of this process in MiB [default: that of the machine]"`
	MaxConnections string   `arg:"--max-connections,env:KUMQUATHITCH_MAX_CONNECTIONS" help:"open connections of callers [default: from memory and descriptors]"`
	HeadBytes      string   `arg:"--head-bytes,env:KUMQUATHITCH_HEAD_BYTES" help:"largest head of a request in bytes [default: 65536]"`
	HeadMemoryMB   string   `arg:"--head-memory-mb,env:KUMQUATHITCH_HEAD_MEMORY_MB" help:"memory for the heads of all requests in MiB [default: a tenth of the memory]"`
	EmptyLineBytes string   `arg:"--empty-line-bytes,env:KUMQUATHITCH_EMPTY_LINE_BYTES" help:"empty lines before a request in bytes [default: 64]"`
	HeadTimeout    string   `arg:"--head-timeout,env:KUMQUATHITCH_HEAD_TIMEOUT" help:"longest time for the head of a request [default: 10s]"`
	CallerIdle     string   `arg:"--caller-idle-timeout,env:KUMQUATHITCH_CALLER_IDLE_TIMEOUT" help:"longest time between two requests of a connection [default: 90s]"`
	OutcomeTTL     string   `arg:"--outcome-ttl,env:KUMQUATHITCH_OUTCOME_TTL" help:"how long an idempotency record is kept [default: 1h]"`
}

// ParsedSettings are validated Settings.
type ParsedSettings struct {
	Name         string
	DataCentre   string
	Listen       netip.AddrPort
	PeerListen   netip.AddrPort
	Platform     netip.AddrPort
	Peers        []netip.AddrPort
	OTLPEndpoint string
	LogLevel     string
	ClockDrift   float64
	MemoryBytes  int64 // 0 for the memory of the machine.
	Intake       kumquathitch.IntakeLimits

	DrainTimeout   time.Duration
	StoreTimeout   time.Duration
	ClockError     time.Duration
	MessageDelay   time.Duration
	SlotLease      time.Duration
	FloorLease     time.Duration
	LoanTerm       time.Duration
	Heartbeat      time.Duration
	SuspectAfter   time.Duration
	DeadAfter      time.Duration
	LeavingGrace   time.Duration
	ReportMaxAge   time.Duration
	FingerprintTTL time.Duration
	OutcomeTTL     time.Duration
}

// SetDefaults sets empty fields to their defaults.
func (s *Settings) SetDefaults() {
	defaults := []struct {
		field *string
		value string
	}{
		{&s.Listen, "127.0.0.1:8080"},
		{&s.PeerListen, "127.0.0.1:7100"},
		{&s.LogLevel, "info"},
		{&s.DrainTimeout, "5m"},
		{&s.StoreTimeout, "500ms"},
		{&s.ClockError, "1s"},
		{&s.ClockDrift, "0.001"},
		{&s.MessageDelay, "30s"},
		{&s.SlotLease, "30s"},
		{&s.FloorLease, "24h"},
		{&s.LoanTerm, "5s"},
		{&s.Heartbeat, "1s"},
		{&s.SuspectAfter, "3s"},
		{&s.DeadAfter, "10s"},
		{&s.LeavingGrace, "2s"},
		{&s.ReportMaxAge, "5s"},
		{&s.FingerprintTTL, "1h"},
		{&s.OutcomeTTL, "1h"},
		{&s.HeadTimeout, "10s"},
		{&s.CallerIdle, "90s"},
	}
	for _, d := range defaults {
		if *d.field == "" {
			*d.field = d.value
		}
	}
}

// Parse parses and validates all settings. It returns a
// *kumquathitch.ValidationError that lists every problem with its flag and
// environment variable.
func (s *Settings) Parse() (ParsedSettings, error) {
	p := settingsParser{}
	parsed := ParsedSettings{
		Name:           p.name("name", s.Name),
		DataCentre:     p.name("data-centre", s.DataCentre),
		Listen:         p.address("listen", s.Listen),
		PeerListen:     p.address("peer-listen", s.PeerListen),
		Platform:       p.address("platform", s.Platform),
		OTLPEndpoint:   s.OTLPEndpoint,
		LogLevel:       p.logLevel("log-level", s.LogLevel),
		MemoryBytes:    p.count("memory-mb", s.MemoryMB) << 20,
		Intake:         p.intake(s),
		ClockDrift:     p.fraction("clock-drift", s.ClockDrift),
		DrainTimeout:   p.duration("drain-timeout", s.DrainTimeout),
		StoreTimeout:   p.duration("store-timeout", s.StoreTimeout),
		ClockError:     p.duration("clock-error", s.ClockError),
		MessageDelay:   p.duration("message-delay", s.MessageDelay),
		SlotLease:      p.duration("slot-lease", s.SlotLease),
		FloorLease:     p.duration("floor-lease", s.FloorLease),
		LoanTerm:       p.duration("loan-term", s.LoanTerm),
		Heartbeat:      p.duration("heartbeat", s.Heartbeat),
		SuspectAfter:   p.duration("suspect-after", s.SuspectAfter),
		DeadAfter:      p.duration("dead-after", s.DeadAfter),
		LeavingGrace:   p.duration("leaving-grace", s.LeavingGrace),
		ReportMaxAge:   p.duration("report-max-age", s.ReportMaxAge),
		FingerprintTTL: p.duration("fingerprint-ttl", s.FingerprintTTL),
		OutcomeTTL:     p.duration("outcome-ttl", s.OutcomeTTL),
	}
	for _, text := range s.Peers {
		parsed.Peers = append(parsed.Peers, p.address("peer", text))
	}
	p.atMost("loan-term", s.LoanTerm, parsed.LoanTerm, "slot-lease", parsed.SlotLease)
	p.atMost("slot-lease", s.SlotLease, parsed.SlotLease, "floor-lease", parsed.FloorLease)
	p.atMost("clock-error", s.ClockError, 2*parsed.ClockError, "half of loan-term", parsed.LoanTerm)
	p.atMost("suspect-after", s.SuspectAfter, parsed.SuspectAfter, "dead-after", parsed.DeadAfter)
	return parsed, p.problems.Err()
}

type settingsParser struct {
	problems kumquathitch.Problems
}

// add records a problem with the value of a flag.
func (p *settingsParser) add(flag, value, allowed string) {
	p.problems.Add(fmt.Sprintf("--%s (%s)", flag, EnvironmentName(flag)), value, allowed)
}

func (p *settingsParser) name(flag, text string) string {
	if text == "" {
		p.add(flag, text, "a non-empty name")
	}
	return text
}

func (p *settingsParser) address(flag, text string) netip.AddrPort {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		p.add(flag, text, "an IP address and a port, such as 10.0.0.5:8080")
	}
	return address
}

func (p *settingsParser) logLevel(flag, text string) string {
	if _, err := zapcore.ParseLevel(text); err != nil {
		p.add(flag, text, "debug, info, warn or error")
	}
	return text
}

func (p *settingsParser) fraction(flag, text string) float64 {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || value < 0 || value >= 1 {
		p.add(flag, text, "a number from 0 to below 1")
	}
	return value
}

// count parses a number; an empty text stands for the default, which is 0.
func (p *settingsParser) count(flag, text string) int64 {
	if text == "" {
		return 0
	}
	value, err := strconv.ParseInt(text, 10, 32)
	if err != nil || value <= 0 {
		p.add(flag, text, "a whole number above 0")
	}
	return value
}

func (p *settingsParser) intake(s *Settings) kumquathitch.IntakeLimits {
	return kumquathitch.IntakeLimits{
		Connections:    int(p.count("max-connections", s.MaxConnections)),
		HeadBytes:      p.count("head-bytes", s.HeadBytes),
		HeadMemory:     p.count("head-memory-mb", s.HeadMemoryMB) << 20,
		EmptyLineBytes: p.count("empty-line-bytes", s.EmptyLineBytes),
		HeadTimeout:    p.duration("head-timeout", s.HeadTimeout),
		IdleTimeout:    p.duration("caller-idle-timeout", s.CallerIdle),
	}
}

func (p *settingsParser) duration(flag, text string) time.Duration {
	value, err := time.ParseDuration(text)
	if err != nil || value <= 0 {
		p.add(flag, text, "a period above 0, such as 500ms or 30s")
	}
	return value
}

func (p *settingsParser) atMost(flag, text string, value time.Duration, otherFlag string, other time.Duration) {
	if value > 0 && other > 0 && value > other {
		p.add(flag, text, fmt.Sprintf("at most %s, which is %s", otherFlag, other))
	}
}
