// Command measure runs one measurement of real proxies over the stand-ins. It
// prints progress to standard error and, as its last line on standard output,
// one JSON object with figures, bounds and the verdict. It exits with 1 when a
// figure is outside its bound and with 2 when the measurement could not be made.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"sort"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"egretroad/tools/measure/catalogue"
	"egretroad/tools/measure/control"
	"egretroad/tools/measure/drain"
	"egretroad/tools/measure/failover"
	"egretroad/tools/measure/fleet"
	"egretroad/tools/measure/flood"
	"egretroad/tools/measure/outcomes"
	"egretroad/tools/measure/path"
	"egretroad/tools/measure/reads"
	"egretroad/tools/measure/replay"
	"egretroad/tools/measure/report"
	"egretroad/tools/measure/restart"
)

// runTimeout bounds one measurement.
const runTimeout = 3 * time.Minute

// measurements lists every measurement by name.
var measurements = map[string]report.Func{
	"catalogue":    catalogue.Run,
	"control":      control.Run,
	"drain":        drain.Run,
	"failover":     failover.Run,
	"flood":        flood.Run,
	"flood-faults": flood.RunFaults,
	"outage":       failover.RunOutage,
	"outcomes":     outcomes.Run,
	"path":         path.Run,
	"reads":        reads.Run,
	"replay":       replay.Run,
	"restart":      restart.Run,
}

// OutOfBoundsError reports a measurement whose figures are outside their bounds.
type OutOfBoundsError struct{ Violations []string }

func (e *OutOfBoundsError) Error() string {
	return "out of bounds: " + strings.Join(e.Violations, "; ")
}

// UnknownMeasurementError reports a name that no measurement has.
type UnknownMeasurementError struct{ Name string }

func (e *UnknownMeasurementError) Error() string {
	return fmt.Sprintf("unknown measurement %q; known: %s", e.Name, strings.Join(names(), ", "))
}

func names() []string {
	var all []string
	for n := range measurements {
		all = append(all, n)
	}
	sort.Strings(all)
	return all
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	env := &report.Env{Progress: os.Stderr}
	cmd := &cobra.Command{
		Use:           "measure NAME",
		Short:         "Measure real proxies over the stand-ins: " + strings.Join(names(), ", "),
		Args:          cobra.ExactArgs(1),
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(cmd *cobra.Command, args []string) error { return run(cmd.Context(), args[0], env) },
	}
	cmd.Flags().Uint64Var(&env.Seed, "seed", 1, "seed of all random choices")
	cmd.Flags().StringVar(&env.Deployment, "deployment", "", "measure only this deployment")
	cmd.Flags().IntVar(&env.Size, "size", 0, "the measurement's own size; 0: its default")
	os.Exit(exitCode(cmd.ExecuteContext(ctx)))
}

func exitCode(err error) int {
	if err == nil {
		return 0
	}
	_, _ = fmt.Fprintln(os.Stderr, "measure:", err) // nowhere else to report
	if _, ok := err.(*OutOfBoundsError); ok {
		return 1
	}
	return 2
}

func run(ctx context.Context, name string, env *report.Env) error {
	measure, ok := measurements[name]
	if !ok {
		return &UnknownMeasurementError{Name: name}
	}
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	binary, remove, err := fleet.Build(ctx)
	if err != nil {
		return err
	}
	defer remove()
	env.Binary = binary
	r, err := measure(ctx, env)
	if err != nil {
		return err
	}
	if err := r.Write(os.Stdout); err != nil {
		return err
	}
	if !r.OK {
		return &OutOfBoundsError{Violations: r.Violations()}
	}
	return nil
}
