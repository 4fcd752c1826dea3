package cli

import (
	"context"
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
	return &cobra.Command{
		Use:   "node",
		Short: "Run the proxy of this VM on the users' platform",
		Long: `Runs the proxy of this VM with the settings file of the users' platform until a
signal. SIGTERM drains within the platform's grace; SIGHUP reads the settings file
again. Logs go to standard output, one event a line, and never hold work up.`,
		Args: exactArgs(),
		RunE: func(cmd *cobra.Command, _ []string) error { return runNode(cmd.Context(), e) },
	}
}

func runNode(ctx context.Context, e *env) error {
	settings, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	out := eventlog.NewAsync(e.out)
	defer out.Close()
	log := eventlog.New(out, hclog.Info, "vm", settings.VM)
	m := metrics.NewRegistry()
	m.Gauge("log_lines_dropped", "Log lines that a slow reader of standard output did not take.", func() float64 { return float64(out.DroppedInAll()) })
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
