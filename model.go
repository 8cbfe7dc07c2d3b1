package kumquathitch

// Model is a set of weights that engines can load.
type Model struct {
	Name         string `json:"name"`
	Version      string `json:"version"`
	Bytes        int64  `json:"bytes"`         // Accelerator memory of the weights, bytes.
	CacheReserve int64  `json:"cache-reserve"` // Accelerator memory reserved for the KV cache of one replica, bytes.
	Class        string `json:"class"`         // Urgency class: "interactive", "standard" or "batch".
}

// Models is a list of models.
type Models []Model

// Adapter is a small set of weights that is applied on top of a model.
type Adapter struct {
	Name  string `json:"name"`
	Model string `json:"model"`
	Bytes int64  `json:"bytes"`
}

// Adapters is a list of adapters.
type Adapters []Adapter

// SetDefaults fills empty fields.
func (m *Model) SetDefaults() {
	if m.Version == "" {
		m.Version = "1"
	}
	if m.Class == "" {
		m.Class = "standard"
	}
}

// Validate appends the model's problems to problems; field is the path of the model.
func (m *Model) Validate(field string, problems *Problems) {
	validateName(field+".name", m.Name, problems)
	if m.Bytes <= 0 {
		problems.Add(field+".bytes", m.Bytes, "bytes above 0")
	}
	if m.CacheReserve < 0 {
		problems.Add(field+".cache-reserve", m.CacheReserve, "bytes, at least 0")
	}
	if !validClass(m.Class) {
		problems.Add(field+".class", m.Class, allowedClasses)
	}
}

// Find returns the model with a name, or nil. The pointer aliases the list.
func (m Models) Find(name string) *Model {
	for i := range m {
		if m[i].Name == name {
			return &m[i]
		}
	}
	return nil
}

// Find returns the adapter with a name, or nil. The pointer aliases the list.
func (a Adapters) Find(name string) *Adapter {
	for i := range a {
		if a[i].Name == name {
			return &a[i]
		}
	}
	return nil
}
