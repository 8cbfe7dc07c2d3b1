package kumquathitch

import "time"

// Exchange is what an entry VM tells the leader, or another VM when the leader
// cannot be reached, a few times a second.
type Exchange struct {
	OnlyDraws    bool               `json:"only-draws,omitempty"` // Only the tokens are meant: Draw and Return.
	From         string             `json:"from"`
	Version      uint64             `json:"version"`                 // Of the deployment in force.
	Demand       map[string]float64 `json:"demand,omitempty"`        // Tokens per second by service, a slash, and model or adapter.
	Draw         map[string]float64 `json:"draw,omitempty"`          // Tokens wanted by account.
	Return       map[string]float64 `json:"return,omitempty"`        // Tokens given back by account.
	Suspects     Suspects           `json:"suspects,omitempty"`      // News of this VM.
	Loads        map[string]int     `json:"loads,omitempty"`         // Own calls under way, by instance.
	Revision     uint64             `json:"revision"`                // Of the store, as last heard.
	WithoutStore bool               `json:"without-store,omitempty"` // The store does not answer this VM.
}

// ExchangeReply answers an exchange.
type ExchangeReply struct {
	Leader     bool                `json:"leader"`              // The answering VM holds the lease of the leader.
	LeaderAt   string              `json:"leader-at,omitempty"` // Address of the leader, as far as the answering VM knows.
	Members    int                 `json:"members,omitempty"`   // VMs that share the rates; 0 when not known.
	Granted    map[string]float64  `json:"granted,omitempty"`   // Tokens by account.
	Levels     map[string]float64  `json:"levels,omitempty"`    // Tokens that the bank still holds, by account.
	Dry        map[string]float64  `json:"dry,omitempty"`       // Accounts without tokens: seconds until some come.
	Suspects   Suspects            `json:"suspects,omitempty"`
	Loads      map[string]int      `json:"loads,omitempty"`     // Calls of the other VMs under way, by instance.
	Unloading  map[string][]string `json:"unloading,omitempty"` // Models with an order to unload, by instance.
	Fed        bool                `json:"fed,omitempty"`       // Changes holds all after the asking VM's revision.
	Changes    []KeyChange         `json:"changes,omitempty"`
	Packed     []byte              `json:"packed,omitempty"` // More changes, encoded and compressed.
	Version    uint64              `json:"version"`
	Deployment []byte              `json:"deployment,omitempty"` // Encoded as in the store, and compressed.
	Instances  []KeyItem           `json:"instances,omitempty"`  // Descriptions as in the store, for a VM without it.
	Revision   uint64              `json:"revision"`             // Of the store, as the answering VM knows it.
}

// Suspect is a request after whose start upstreams broke off.
type Suspect struct {
	Fingerprint uint64    `json:"fingerprint"`
	Crashes     int       `json:"crashes"`
	Seen        time.Time `json:"seen"`
}

// Suspects is a list of suspect requests.
type Suspects []Suspect

// AdapterWant asks the leader for an adapter that no instance is known to hold.
type AdapterWant struct {
	Service string `json:"service"`
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
}

// AdapterPlace answers an AdapterWant.
type AdapterPlace struct {
	Instances []string `json:"instances,omitempty"` // That hold it now.
}

// ScheduleWant asks the leader for the engine of a call. Its times are relative,
// in nanoseconds, since the clocks of VMs differ.
type ScheduleWant struct {
	From       string         `json:"from"`
	DataCentre string         `json:"data-centre"`
	Service    string         `json:"service"`
	Model      string         `json:"model"`
	Adapter    string         `json:"adapter,omitempty"`
	Prompt     PromptParts    `json:"prompt,omitempty"`
	Tokens     int64          `json:"tokens"` // Of the prompt.
	Objective  time.Duration  `json:"objective"`
	GapLimit   time.Duration  `json:"gap-limit,omitempty"` // 0 when there is none.
	Hold       time.Duration  `json:"hold,omitempty"`      // How long the call may wait before it is sent.
	Limit      time.Duration  `json:"limit,omitempty"`     // Within which the answer must begin; 0 for a call that is taken anyhow.
	FullRun    time.Duration  `json:"full-run,omitempty"`  // How long calls run on a full engine, as the VM has seen; 0 before any.
	Avoid      []string       `json:"avoid,omitempty"`     // Engines that were tried, or that the VM has seen fail.
	Loads      map[string]int `json:"loads,omitempty"`     // All calls of the VM under way, by instance.
}

// ScheduleGrant answers a ScheduleWant.
type ScheduleGrant struct {
	Instance string        `json:"instance,omitempty"` // Empty when the leader names none.
	Missing  int64         `json:"missing"`            // Prompt tokens to read.
	Full     bool          `json:"full,omitempty"`     // No engine would begin the answer in time.
	Wait     time.Duration `json:"wait"`               // Until the call may be sent, or until an engine has room again.
	Expected time.Duration `json:"expected"`           // From then to the first event.
}

// Member is the record of an entry VM in the store, kept alive by a lease.
type Member struct {
	Name       string    `json:"name"`
	Address    string    `json:"address"` // For calls between entry VMs.
	DataCentre string    `json:"data-centre"`
	Started    time.Time `json:"started"`
	Strength   float64   `json:"strength"` // Processor and link, to choose a leader by.
}
