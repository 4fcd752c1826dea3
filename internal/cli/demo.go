package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"egretroad/internal/demo"
	"egretroad/internal/eventlog"
	"egretroad/internal/standin/deployment"
)

func newDemoCommand(e *env) *cobra.Command {
	options := deployment.DefaultOptions()
	level := "warn"
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a demonstration deployment on loopback",
		Long: `Runs stand-ins (in-process fakes) of the platform and the backend servers, with real
proxies in front of them, in one process on loopback, until a signal arrives. The
first line of output lists the proxies, the databases and the platform.

The backend servers speak the PostgreSQL protocol and support a fixed set of
statements on a single table, kv(key text primary key, value text).`,
		Args: exactArgs(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			logLevel, err := parseLevel(level)
			if err != nil {
				return err
			}
			d, err := demo.Start(cmd.Context(), demo.Options{Deployment: options, Log: eventlog.New(e.errOut, logLevel)})
			if err != nil {
				return err
			}
			defer d.Stop()
			if err := d.WriteReady(e.out); err != nil {
				return err
			}
			<-cmd.Context().Done()
			return nil
		},
	}
	cmd.Flags().StringVar(&options.Name, "deployment", options.Name, "bright-spokes or cabra-ronda")
	cmd.Flags().IntVar(&options.Proxies, "proxies", options.Proxies, "number of proxies")
	cmd.Flags().IntVar(&options.FirstPort, "port", options.FirstPort, "callers' port of the first proxy; the others use the next ports; 0: free ports")
	cmd.Flags().Float64Var(&options.Scale, "scale", options.Scale, "scale factor of the stand-ins' delays; 1: full size")
	cmd.Flags().StringVar(&level, "log-level", level, "minimum level of the proxies' event log on standard error")
	cmd.AddCommand(newFaultCommand(e))
	return cmd
}

// FaultError reports that the demo did not inject a fault.
type FaultError struct {
	Detail string
	Cause  error // nil: the demo rejected the action
}

func (e *FaultError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("the demo's platform does not answer: %v; its address is in the demo's first line of output", e.Cause)
	}
	return e.Detail
}

// Unwrap returns the cause.
func (e *FaultError) Unwrap() error { return e.Cause }

// ExitCode returns ExitUnreachable if the demo cannot be reached, and ExitInvalid if
// it rejected the action.
func (e *FaultError) ExitCode() int {
	if e.Cause != nil {
		return ExitUnreachable
	}
	return ExitInvalid
}

func newFaultCommand(e *env) *cobra.Command {
	var address string
	cmd := &cobra.Command{
		Use:   "fault ACTION [ARGUMENT...]",
		Short: "Inject a fault into the demo's stand-ins",
		Long:  "Injects a fault into the demo's stand-ins:\n\n  " + strings.Join(deployment.Actions(), "\n  "),
		Args:  cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if err := injectFault(address, args); err != nil {
				return err
			}
			return e.printLine(map[string]any{"fault": args}, "injected %s", strings.Join(args, " "))
		},
	}
	addPlatformFlag(cmd, &address)
	return cmd
}

func injectFault(address string, args []string) error {
	body, err := json.Marshal(deployment.FaultRequest{Action: args[0], Args: args[1:]})
	if err != nil {
		return err
	}
	client := http.Client{Timeout: operatorTimeout}
	resp, err := client.Post(platformURL(address)+deployment.PathFault, "application/json", bytes.NewReader(body))
	if err != nil {
		return &FaultError{Cause: err}
	}
	defer func() { _ = resp.Body.Close() }() // nothing was written to it
	var reply deployment.FaultReply
	if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil {
		return &FaultError{Cause: err}
	}
	if reply.Error != "" {
		return &FaultError{Detail: reply.Error}
	}
	return nil
}

// platformEnvVar is the environment variable with the platform's address.
const platformEnvVar = "EGRETROAD_PLATFORM"

// addPlatformFlag adds the flag for the platform's address.
func addPlatformFlag(cmd *cobra.Command, address *string) {
	cmd.Flags().StringVar(address, "platform", os.Getenv(platformEnvVar),
		"address of the platform, IP:PORT or URL; default: $"+platformEnvVar)
}

// platformURL returns the URL of an address given as IP:PORT or URL.
func platformURL(address string) string {
	if strings.Contains(address, "://") {
		return address
	}
	return "http://" + address
}
