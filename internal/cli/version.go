package cli

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"

	"harrierramp/internal/statedir"
)

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version and the build information of this program", Args: noArgs,
		Example: "  harrierramp version",
		RunE: func(c *cobra.Command, _ []string) error {
			out := c.OutOrStdout()
			info, ok := debug.ReadBuildInfo()
			if !ok {
				_, err := fmt.Fprintln(out, "harrierramp, built without build information")
				return err
			}
			fmt.Fprintf(out, "harrierramp %s, %s\n", info.Main.Version, info.GoVersion)
			for _, s := range info.Settings {
				switch s.Key {
				case "vcs.revision", "vcs.time", "vcs.modified", "CGO_ENABLED", "GOARCH", "GOOS":
					fmt.Fprintf(out, "%s %s\n", s.Key, s.Value)
				}
			}
			_, err := fmt.Fprintf(out, "state format %d\n", statedir.Format)
			return err
		},
	}
}
