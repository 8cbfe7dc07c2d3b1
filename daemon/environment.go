package daemon

import "strings"

// EnvironmentName returns the name of the environment variable for a flag.
func EnvironmentName(flag string) string {
	if flag == "peer" {
		flag = "peers" // The flag may be repeated; the variable holds a comma-separated list.
	}
	return "KUMQUATHITCH_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}
