package cli

import (
	"github.com/hashicorp/go-hclog"
	"github.com/spf13/cobra"

	"egretroad/internal/config"
	"egretroad/internal/eventlog"
	"egretroad/internal/proxy"
)

func newServeCommand(e *env) *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "serve --config FILE",
		Short: "Run the proxy of this VM",
		Long: `Runs the proxy of this VM until a signal arrives. The first SIGTERM or interrupt starts
a graceful shutdown: requests in progress complete, callers are told to connect
elsewhere, and homes are handed over. A second signal, or the end of
shutdown.drainTimeout, ends the process immediately. The settings file "-" is standard
input.`,
		Args: exactArgs(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if file == "" {
				return &UsageError{Detail: "serve needs --config FILE"}
			}
			settings, err := config.Load(file)
			if err != nil {
				return err
			}
			log := eventlog.New(e.errOut, hclog.LevelFromString(settings.Log.Level), "vm", settings.VM.ID)
			return proxy.Serve(cmd.Context(), settings, log, e.out)
		},
	}
	cmd.Flags().StringVar(&file, "config", "", "settings file, JSON with comments")
	return cmd
}

func newCheckConfigCommand(e *env) *cobra.Command {
	return &cobra.Command{
		Use:   "check-config FILE",
		Short: "Validate a settings file and report all errors",
		Args:  exactArgs("FILE"),
		RunE: func(_ *cobra.Command, args []string) error {
			settings, err := config.Load(args[0])
			if err != nil {
				return err
			}
			return e.printLine(settings, "%s is valid: VM %s in data centre %s", args[0], settings.VM.ID, settings.VM.DataCentre)
		},
	}
}

// Version is the version of the program; release builds set it with -ldflags.
var Version = "development"

func newVersionCommand(e *env) *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  exactArgs(),
		RunE: func(*cobra.Command, []string) error {
			return e.printLine(map[string]string{"version": Version}, "egretroad %s", Version)
		},
	}
}
