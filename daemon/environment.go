package daemon

import "strings"

// EnvironmentName returns the environment variable of a flag.
func EnvironmentName(flag string) string {
	if flag == "peer" {
		flag = "peers" // The flag is repeated; the variable holds a list separated by commas.
	}
	return "KUMQUATHITCH_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}
