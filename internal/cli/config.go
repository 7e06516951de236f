package cli

import (
	"fmt"

	"github.com/spf13/cobra"

	"harrierramp/internal/config"
)

func newConfig() *cobra.Command {
	return newGroup("config", "Check, show and explain configurations", "  harrierramp config check --config node.toml",
		newConfigCheck(), newConfigShow(), newConfigExample(), newConfigSchema())
}

func newConfigCheck() *cobra.Command {
	var o serveOptions
	c := &cobra.Command{
		Use: "check [FILE]", Short: "Report all errors in a configuration; exit status 0 if there are none",
		Example: "  harrierramp config check node.toml\n  harrierramp config check node.toml --set limits.sockets=512",
		Args:    optionalFileArg(&o),
		RunE: func(c *cobra.Command, _ []string) error {
			if _, err := config.Load(o.sources()); err != nil {
				return err
			}
			fmt.Fprintln(c.OutOrStdout(), "the configuration is good")
			return nil
		},
	}
	addConfigFlags(c, &o)
	return c
}

func newConfigShow() *cobra.Command {
	var o serveOptions
	var origin bool
	c := &cobra.Command{
		Use: "show [FILE]", Short: "Print every effective value",
		Example: "  harrierramp config show node.toml --origin",
		Args:    optionalFileArg(&o),
		RunE: func(c *cobra.Command, _ []string) error {
			l, err := config.Load(o.sources())
			if err != nil {
				return err
			}
			return l.Show(c.OutOrStdout(), origin)
		},
	}
	c.Flags().BoolVar(&origin, "origin", false, "print where each value came from")
	addConfigFlags(c, &o)
	return c
}

func newConfigExample() *cobra.Command {
	return &cobra.Command{
		Use: "example", Short: "Print a complete configuration with the meaning of every value", Args: noArgs,
		Example: "  harrierramp config example > node.toml",
		RunE:    func(c *cobra.Command, _ []string) error { return config.Example(c.OutOrStdout()) },
	}
}

func newConfigSchema() *cobra.Command {
	return &cobra.Command{
		Use: "schema", Short: "Print the JSON schema of a configuration", Args: noArgs,
		Example: "  harrierramp config schema > node.schema.json",
		RunE: func(c *cobra.Command, _ []string) error {
			text, err := config.Schema()
			if err == nil {
				_, err = fmt.Fprintln(c.OutOrStdout(), string(text))
			}
			return err
		},
	}
}

// optionalFileArg accepts the configuration file as an optional argument.
func optionalFileArg(o *serveOptions) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) > 1 {
			return usageError{fmt.Errorf("%s takes at most one file; see '%s --help'", c.CommandPath(), c.CommandPath())}
		}
		if len(args) == 1 {
			o.configFile = args[0]
		}
		return nil
	}
}
