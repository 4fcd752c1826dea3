// Command measure runs one measurement of egretroad, in most cases of real proxy
// processes over the stand-ins (fake backend servers, platform and network). It
// writes progress to standard error and, as the last line on standard output, a
// JSON report: the figures, their bounds and whether all bounds hold. Its exit code
// is 1 when a figure is outside its bound and 2 when the measurement failed to run.
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
	"egretroad/tools/measure/silence"
)

// runTimeout bounds one measurement, including the build of the program.
const runTimeout = 3 * time.Minute

// measurements maps each measurement's name to its function.
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
	"silence":      silence.Run,
}

// OutOfBoundsError reports a measurement whose figures are outside their bounds.
type OutOfBoundsError struct{ Violations []string }

func (e *OutOfBoundsError) Error() string {
	return "out of bounds: " + strings.Join(e.Violations, "; ")
}

// UnknownMeasurementError reports a command-line argument that names no measurement.
type UnknownMeasurementError struct{ Name string }

func (e *UnknownMeasurementError) Error() string {
	return fmt.Sprintf("unknown measurement %q; known: %s", e.Name, strings.Join(measurementNames(), ", "))
}

func measurementNames() []string {
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
		Short:         "Measure real proxies over the stand-ins; NAME is one of: " + strings.Join(measurementNames(), ", "),
		Args:          cobra.ExactArgs(1),
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(cmd *cobra.Command, args []string) error { return run(cmd.Context(), args[0], env) },
	}
	cmd.Flags().Uint64Var(&env.Seed, "seed", 1, "seed of the random number generators")
	cmd.Flags().StringVar(&env.Deployment, "deployment", "", "measure only this deployment; default: all that the measurement covers")
	cmd.Flags().IntVar(&env.Size, "size", 0, "size of the measurement (number of proxies or of runs); 0: its default")
	os.Exit(exitCode(cmd.ExecuteContext(ctx)))
}

func exitCode(err error) int {
	if err == nil {
		return 0
	}
	_, _ = fmt.Fprintln(os.Stderr, "measure:", err) // a failed write to standard error cannot be reported
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
