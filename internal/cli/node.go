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

func newNode(e *env) *cobra.Command {
	o := logOptions{level: hclog.Info.String(), linesPerSecond: defaultLogLines}
	cmd := &cobra.Command{
		Use:   "node",
		Short: "Run the proxy of this VM on the users' platform",
		Long: `Runs the proxy of this VM with the settings file of the users' platform until a
signal. SIGTERM drains within the platform's grace; SIGHUP reads the settings file
again. Logs go to standard output, one event a line, and never hold work up.`,
		Args: exactArgs(),
		RunE: func(cmd *cobra.Command, _ []string) error { return runNode(cmd.Context(), e, o) },
	}
	cmd.Flags().StringVar(&o.level, "log-level", o.level, "least level of lines that are written: trace, debug, info, warn or error")
	cmd.Flags().IntVar(&o.linesPerSecond, "log-lines", o.linesPerSecond, "most lines of each event a second; more are counted and left out")
	return cmd
}

// defaultLogLines keeps a VM below half a megabyte of lines a second when three
// events tell of each request.
const defaultLogLines = 500

// logOptions say what is logged.
type logOptions struct {
	level          string
	linesPerSecond int
}

// parseLevel returns the level that --log-level names.
func parseLevel(name string) (hclog.Level, error) {
	level := hclog.LevelFromString(name)
	if level == hclog.NoLevel {
		return level, &UsageError{Detail: fmt.Sprintf("--log-level is %q, want trace, debug, info, warn or error", name)}
	}
	return level, nil
}

// check returns a usage error for values out of range.
func (o logOptions) check() error {
	if _, err := parseLevel(o.level); err != nil {
		return err
	}
	if o.linesPerSecond < 1 {
		return &UsageError{Detail: fmt.Sprintf("--log-lines is %d, want at least 1", o.linesPerSecond)}
	}
	return nil
}

func runNode(ctx context.Context, e *env, o logOptions) error {
	if err := o.check(); err != nil {
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
	bound := eventlog.NewBound(o.linesPerSecond)
	log := eventlog.NewBounded(out, hclog.LevelFromString(o.level), bound, "vm", settings.VM)
	m := metrics.NewRegistry()
	m.Gauge("log_lines_dropped", "Log lines that a slow reader of standard output did not take.", func() float64 { return float64(out.Dropped()) })
	m.Gauge("log_lines_left_out", "Log lines beyond the bound of their event.", func() float64 { return float64(bound.LeftOut()) })
	n, err := node.New(settings.NodeSettings(), platform.NewAdapters(settings, m, log), m, log)
	if err != nil {
		return err
	}
	go reloadSettings(ctx, hup, settings, log)
	return n.Run(ctx)
}

// reloadSettings reads the settings again at each SIGHUP. Addresses hold for the
// life of the process; what else is new is logged, and seeds are only used at the
// start.
func reloadSettings(ctx context.Context, hup <-chan os.Signal, old platform.Settings, log hclog.Logger) {
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
		moved := settings.CallerListen != old.CallerListen || settings.PeerListen != old.PeerListen
		log.Info("settings_reloaded", "seeds", settings.Seeds, "grace", settings.Grace, "restart_needed", moved)
		old = settings
	}
}
