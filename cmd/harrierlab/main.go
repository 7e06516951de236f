// Command harrierlab is the lab: an emulator of partners, clients and a fleet, with experiments and reports.
// 'harrierlab help' lists its commands.
package main

import (
	"os"

	"harrierramp/internal/lab/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
