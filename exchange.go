package kumquathitch

import "time"

// ExchangeRequest is the message that an entry VM sends to the leader a few times
// a second, or to another VM when the leader cannot be reached.
type ExchangeRequest struct {
	TokensOnly        bool               `json:"only-draws,omitempty"`    // Only TokensWanted and TokensReturned are set.
	DeploymentOnly    bool               `json:"only-version,omitempty"`  // Only From and DeploymentVersion are set, and the response has a newer deployment only. An older VM does not know the field.
	From              string             `json:"from"`                    // Name of the sending VM.
	DeploymentVersion uint64             `json:"version"`                 // Version of the deployment in force; 0 before the first.
	Demand            map[string]float64 `json:"demand,omitempty"`        // Tokens per second, by "service/model" or "service/model/adapter".
	TokensWanted      map[string]float64 `json:"draw,omitempty"`          // By account.
	TokensUrgent      map[string]float64 `json:"urgent,omitempty"`        // Part of TokensWanted that calls wait for, by account.
	TokensReturned    map[string]float64 `json:"return,omitempty"`        // By account.
	Suspects          SuspectReport      `json:"suspect-parts,omitzero"`  // Prompt parts and contents that may crash upstreams, as the sending VM observed.
	InFlight          map[string]int     `json:"loads,omitempty"`         // The VM's own calls in flight, by instance.
	StoreRevision     uint64             `json:"revision"`                // Highest store revision known to the VM.
	StoreUnavailable  bool               `json:"without-store,omitempty"` // The VM cannot reach the store.
}

// ExchangeResponse is the response to an ExchangeRequest.
type ExchangeResponse struct {
	Leader            bool                `json:"leader"`                  // The responding VM holds the leader lease.
	LeaderAddress     string              `json:"leader-at,omitempty"`     // Empty when the responding VM knows no leader.
	SchedulerAddress  string              `json:"scheduler-at,omitempty"`  // VM that assigns calls to engines; empty when that is the leader.
	Schedulers        []string            `json:"schedulers-at,omitempty"` // Such VMs by partition of the engines, if there are several. An older VM does not know the field.
	MemberCount       int                 `json:"members,omitempty"`       // VMs that share the rates; 0 when unknown.
	TokensGranted     map[string]float64  `json:"granted,omitempty"`       // By account.
	BucketLevels      map[string]float64  `json:"levels,omitempty"`        // Tokens left in the leader's buckets, by account.
	RetryAfterSeconds map[string]float64  `json:"dry,omitempty"`           // Seconds until tokens are available, by account without tokens.
	Suspects          SuspectReport       `json:"suspect-parts,omitzero"`  // As all VMs observed.
	InFlight          map[string]int      `json:"loads,omitempty"`         // Calls of the other VMs in flight, by instance.
	FullestOnly       bool                `json:"loads-fullest,omitempty"` // InFlight holds the fullest instances only.
	Unloading         map[string][]string `json:"unloading,omitempty"`     // Models that were ordered to be unloaded, by instance.
	ChangesComplete   bool                `json:"fed,omitempty"`           // Changes and PackedChanges hold all changes after the requested revision.
	SegmentsComplete  bool                `json:"fed-segments,omitempty"`  // Segments and Changes do. An older VM does not know the field, and watches the store itself.
	Changes           []KeyChange         `json:"changes,omitempty"`
	PackedChanges     []byte              `json:"packed,omitempty"`     // Further changes, encoded and compressed, from an older leader.
	Segments          [][]byte            `json:"segments,omitempty"`   // Further changes, each segment encoded and compressed.
	DeploymentVersion uint64              `json:"version"`              // Version of the deployment in force.
	Deployment        []byte              `json:"deployment,omitempty"` // Document as in the store, compressed.
	Instances         []KeyItem           `json:"instances,omitempty"`  // Descriptions as in the store, for a VM that cannot reach it.
	StoreRevision     uint64              `json:"revision"`             // Store revision known to the responding VM.
	Evacuations       EvacuationList      `json:"evacuations,omitzero"` // Known to the responding VM, unless the changes include them.
}

// SuspectReport is what VMs observed of prompt parts and contents of calls that may crash
// upstreams.
type SuspectReport struct {
	Parts    Suspects `json:"parts,omitempty"`    // Prompt parts.
	Contents Suspects `json:"contents,omitempty"` // Contents of calls.
}

// Suspect is a prompt part or a content whose calls were on crashed upstreams. Its times are
// ages because the clocks of VMs differ.
type Suspect struct {
	Hash        uint64          `json:"part"` // Hash of the part's ID or of the content.
	Service     string          `json:"service,omitempty"`
	Known       bool            `json:"known,omitempty"`  // An upstream answered a call with it, possibly before the crashes.
	Blocks      int             `json:"blocks,omitempty"` // Times that it was blocked, with the present block.
	Crashes     []InstanceCrash `json:"crashes,omitempty"`
	Companions  []uint64        `json:"companions,omitzero"`    // Hashes of prompt parts that were on every call with it; nil if no call was seen.
	Events      int             `json:"events,omitempty"`       // Most events of an answer that a crash cut off.
	Answered    bool            `json:"answered,omitempty"`     // An upstream answered a call with it.
	SinceAnswer time.Duration   `json:"since-answer,omitempty"` // Time since the last such answer.
	SinceChange time.Duration   `json:"since-change"`           // Time since the last observation.
}

// Suspects is a list of suspects.
type Suspects []Suspect

// InstanceCrash is the crash of an upstream under a call with a suspect.
type InstanceCrash struct {
	Instance string        `json:"instance"`           // ID and start.
	Age      time.Duration `json:"age"`                // Time since the crash.
	Inferred bool          `json:"inferred,omitempty"` // No VM saw a connection end by it.
}

// AdapterRequest asks the leader to load an adapter that no instance is known to hold.
type AdapterRequest struct {
	Service string `json:"service"`
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Homes   Homes  `json:"homes,omitzero"`
}

// AdapterResponse is the response to an AdapterRequest.
type AdapterResponse struct {
	Instances []string `json:"instances,omitempty"` // Instances that hold the adapter now.
}

// ScheduleRequest asks the scheduler for the engine of a call. Its times are durations
// in nanoseconds because the clocks of VMs differ.
type ScheduleRequest struct {
	From              string          `json:"from"`
	DataCentre        string          `json:"data-centre"`
	Service           string          `json:"service"`
	Model             string          `json:"model"`
	Adapter           string          `json:"adapter,omitempty"`
	Prompt            PromptParts     `json:"prompt,omitempty"`
	Content           uint64          `json:"content,omitempty"`  // Hash of the call's content.
	Tokens            int64           `json:"tokens"`             // Tokens of the prompt.
	OutputTokens      int64           `json:"output,omitempty"`   // Most tokens that the response may have; 0 if the call does not say.
	Priority          int             `json:"priority,omitempty"` // 0 is the most urgent.
	LatencyObjective  time.Duration   `json:"objective"`
	GapLimit          time.Duration   `json:"gap-limit,omitempty"` // Longest pause between events of a stream; 0 when there is none.
	MaxHold           time.Duration   `json:"hold,omitempty"`      // Longest wait before the call is sent.
	FirstByteLimit    time.Duration   `json:"limit,omitempty"`     // Time within which the response must start; 0 to accept the call in any case.
	FullEngineRunTime time.Duration   `json:"full-run,omitempty"`  // Run time of calls on a full engine, as measured by the VM; 0 without a measurement.
	Exclude           []string        `json:"avoid,omitempty"`     // Engines that were already tried, or that failed for the VM.
	Partition         Partition       `json:"partition,omitzero"`  // Engines to choose from.
	InFlight          map[string]int  `json:"loads,omitempty"`     // All calls of the VM in flight on instances of the partition, by instance.
	Limits            []InstanceLimit `json:"limits,omitempty"`    // Changes since the last request to this scheduler.
	Homes             Homes           `json:"homes,omitzero"`
	// The following are not sent by an older VM. Its calls do not wait for a turn.
	Ticket   uint64           `json:"ticket,omitempty"`   // Identifies the call while it waits for a turn; 0 if it cannot wait.
	Waited   time.Duration    `json:"waited,omitempty"`   // Time since the VM received the call.
	Patience time.Duration    `json:"patience,omitempty"` // Time within which the response must start for the caller to receive it.
	ReturnIn time.Duration    `json:"return,omitempty"`   // Time within which the caller comes back if it is refused.
	Observed []EngineResponse `json:"observed,omitempty"` // Complete responses since the last request.
}

// EngineResponse is what a VM measured of a complete response of an engine.
type EngineResponse struct {
	Instance      string        `json:"id"`
	Service       string        `json:"service"`
	Model         string        `json:"model"`
	PrefillTokens int64         `json:"read"` // Prompt tokens that were expected not to be in the prefix cache.
	Priority      int           `json:"priority,omitempty"`
	Events        int           `json:"events,omitempty"` // Of the stream.
	FirstEvent    time.Duration `json:"first"`            // From the send to the first event.
	Run           time.Duration `json:"run"`              // From the first event to the last.
	Paused        bool          `json:"paused,omitempty"` // A pause between events exceeded the limit of the route.
}

// ScheduleResponse is the response to a ScheduleRequest.
type ScheduleResponse struct {
	Instance         string        `json:"instance,omitempty"` // Empty when no engine is assigned.
	PrefillTokens    int64         `json:"missing"`            // Prompt tokens that are not in the engine's prefix cache.
	EnginesFull      bool          `json:"full,omitempty"`     // No engine would start the response in time.
	Deferred         bool          `json:"deferred,omitempty"` // The call waits for its turn, and asks again after Wait.
	Wait             time.Duration `json:"wait"`               // Until the call may be sent, or until an engine has capacity again.
	ExpectedTTFB     time.Duration `json:"expected"`           // From the end of Wait to the first event.
	Blocked          time.Duration `json:"blocked,omitempty"`  // Time for which calls with the content or a part of the prompt are blocked; 0 if they are not.
	Limited          bool          `json:"limited,omitempty"`  // The call was counted against a limit of the engine.
	SendWithin       time.Duration `json:"within,omitempty"`   // Time from the end of Wait after which the call is no longer counted; 0 for no bound.
	BlockedByContent bool          `json:"blocked-content,omitempty"`
}

// InstanceLimit is the limit of calls that one start of an instance names in its responses,
// as one VM last saw it.
type InstanceLimit struct {
	ID          string        `json:"id"`
	Incarnation string        `json:"start"`           // ID and start.
	Named       bool          `json:"named,omitempty"` // False if its last response named none.
	PerSecond   float64       `json:"per-second,omitempty"`
	Age         time.Duration `json:"age"`                   // Time since that response.
	ColdStated  bool          `json:"cold-stated,omitempty"` // A response stated whether the instance is cold.
	ColdFor     time.Duration `json:"cold-for,omitempty"`    // How much longer it is cold.
	ColdAge     time.Duration `json:"cold-age,omitempty"`    // Time since that response.
}

// AdmitRequest asks the scheduler to count a call against the limit of an instance, for a
// call that the VM sends to an instance of its own choice.
type AdmitRequest struct {
	ID          string          `json:"id,omitempty"` // Empty from an older VM, as is Service.
	Service     string          `json:"service,omitempty"`
	Incarnation string          `json:"start"`
	Cold        bool            `json:"cold,omitempty"` // The instance is cold as the VM knows or suspects.
	Limits      []InstanceLimit `json:"limits"`         // That of the instance, as the VM knows it.
}

// AdmitResponse is the response to an AdmitRequest.
type AdmitResponse struct {
	Admitted bool          `json:"admitted"`
	Wait     time.Duration `json:"wait,omitempty"` // Until the limit may admit a call.
}

// Member is the record of an entry VM in the store. It exists as long as its lease.
type Member struct {
	Name       string    `json:"name"`
	Address    string    `json:"address"` // Address for calls between entry VMs.
	DataCentre string    `json:"data-centre"`
	Started    time.Time `json:"started"`
	Capacity   float64   `json:"strength"` // Processor and network capacity; the election prefers the highest.
}
