// Command yuccadoor schedules requests to heterogeneous engines.
package main

import (
	"os"

	"yuccadoor/io/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr))
}
