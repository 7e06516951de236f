// Command harrierlab simulates partners, clients and a fleet of delivery nodes, and runs experiments on them with
// reports. 'harrierlab help' lists its commands.
package main

import (
	"os"

	"harrierramp/internal/lab/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
