package cli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/spf13/cobra"

	"egretroad/internal/eventlog"
	"egretroad/internal/metrics"
	"egretroad/internal/node"
	"egretroad/platform"
)

func newNodeCommand(e *env) *cobra.Command {
	options := logOptions{level: hclog.Info.String(), linesPerSecond: defaultLogLinesPerSecond}
	cmd := &cobra.Command{
		Use:   "node",
		Short: "Run the proxy of this VM on the users' platform",
		Long: `Runs the proxy of this VM with the settings file of the users' platform until a signal
arrives. SIGTERM drains within the platform's grace period; SIGHUP reloads the settings
file. Logs are written to standard output, one event per line, without blocking work.`,
		Args: exactArgs(),
		RunE: func(cmd *cobra.Command, _ []string) error { return runNode(cmd.Context(), e, options) },
	}
	cmd.Flags().StringVar(&options.level, "log-level", options.level, "minimum level of log lines: trace, debug, info, warn or error")
	cmd.Flags().IntVar(&options.linesPerSecond, "log-lines", options.linesPerSecond, "maximum lines per second of each event; excess lines are dropped and counted")
	return cmd
}

// defaultLogLinesPerSecond applies to each event. It keeps a VM's log below half a
// megabyte per second if three events are logged for each request.
const defaultLogLinesPerSecond = 500

// logOptions holds the flags that control logging.
type logOptions struct {
	level          string
	linesPerSecond int
}

// parseLevel parses the value of --log-level.
func parseLevel(name string) (hclog.Level, error) {
	level := hclog.LevelFromString(name)
	if level == hclog.NoLevel {
		return level, &UsageError{Detail: fmt.Sprintf("--log-level is %q, want trace, debug, info, warn or error", name)}
	}
	return level, nil
}

// validate returns a usage error if a value is out of range.
func (o logOptions) validate() error {
	if _, err := parseLevel(o.level); err != nil {
		return err
	}
	if o.linesPerSecond < 1 {
		return &UsageError{Detail: fmt.Sprintf("--log-lines is %d, want at least 1", o.linesPerSecond)}
	}
	return nil
}

func runNode(ctx context.Context, e *env, options logOptions) error {
	if err := options.validate(); err != nil {
		return err
	}
	settings, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	out := eventlog.NewAsync(e.out)
	defer out.Close()
	limiter := eventlog.NewRateLimit(options.linesPerSecond)
	log := eventlog.NewRateLimited(out, hclog.LevelFromString(options.level), limiter, "vm", settings.VM)
	registry := metrics.NewRegistry()
	registry.Gauge("log_lines_dropped", "Log lines that a slow reader of standard output did not take.", func() float64 { return float64(out.Dropped()) })
	registry.Gauge("log_lines_left_out", "Log lines beyond the bound of their event.", func() float64 { return float64(limiter.Suppressed()) })
	n, err := node.New(settings.NodeSettings(), platform.NewAdapters(settings, registry, log), registry, log)
	if err != nil {
		return err
	}
	go reloadSettings(ctx, hup, settings, log)
	return n.Run(ctx)
}

// reloadSettings reloads the settings on each SIGHUP and logs the result, without
// applying it: addresses cannot change while the process runs, and seeds are only
// used at the start. It returns when ctx ends.
func reloadSettings(ctx context.Context, hup <-chan os.Signal, current platform.Settings, log hclog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		settings, err := platform.LoadSettings()
		if err != nil {
			log.Error("settings_kept", "error", err)
			continue
		}
		addressesChanged := settings.CallerListen != current.CallerListen || settings.PeerListen != current.PeerListen
		log.Info("settings_reloaded", "seeds", settings.Seeds, "grace", settings.Grace, "restart_needed", addressesChanged)
		current = settings
	}
}
