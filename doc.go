// Package kumquathitch defines the domain types of a system that serves many
// models on fewer accelerators, and the interfaces of behaviour that varies.
// The aggregates and the implementations are in the packages below it.
//
// # Usage
//
// A program builds a [Configuration], sets its defaults, validates it and passes
// it to the daemon package, which runs one entry VM:
//
//	config := kumquathitch.Configuration{Accounts: kumquathitch.Accounts{account}}
//	config.SetDefaults()
//	if err := config.Validate(); err != nil {
//		return err // *ValidationError with every problem found
//	}
//
// The types in this package are plain structs with exported fields. They are not
// safe for concurrent modification; aggregates copy the values that they keep.
package kumquathitch
