package cli

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/spf13/cobra"

	"egretroad/internal/operator"
)

// operatorTimeout is the time-out of a request to an operator address, or to the
// demo's platform.
const operatorTimeout = 5 * time.Second

// OperatorAddressError reports a failed request to an operator address.
type OperatorAddressError struct {
	Address string
	Cause   error
	Status  int // HTTP status; 0: no valid response
}

func (e *OperatorAddressError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("operator address %s does not answer: %v; check operator.listen in the proxy's settings", e.Address, e.Cause)
	}
	return fmt.Sprintf("operator address %s returned HTTP status %d", e.Address, e.Status)
}

// Unwrap returns the cause.
func (e *OperatorAddressError) Unwrap() error { return e.Cause }

func newDumpCommand(e *env) *cobra.Command {
	var address string
	var showMetrics bool
	cmd := &cobra.Command{
		Use:   "dump --operator IP:PORT",
		Short: "Print the state of a proxy as JSON",
		Long: `Prints the state of every component of a proxy: the version in force and its source,
homes, the live VMs and the evidence for it, leases, promotions, queues and sessions.
With --metrics, prints the counters and histograms instead.`,
		Args: exactArgs(),
		RunE: func(*cobra.Command, []string) error {
			if err := checkOperatorAddress(address); err != nil {
				return err
			}
			path := operator.PathDump
			if showMetrics {
				path = operator.PathMetrics
			}
			return e.printResponse(address, path)
		},
	}
	cmd.Flags().StringVar(&address, "operator", "", "operator address of the proxy")
	cmd.Flags().BoolVar(&showMetrics, "metrics", false, "print metrics instead of the state")
	return cmd
}

// printResponse prints the response of an operator address to a GET request.
func (e *env) printResponse(address, path string) error {
	body, err := fetchFromOperator(address, path)
	if err != nil {
		return err
	}
	_, err = e.out.Write(body)
	return err
}

// checkOperatorAddress returns a usage error unless address has the form IP:PORT.
func checkOperatorAddress(address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return &UsageError{Detail: fmt.Sprintf("--operator is %q, want an IP address and port", address)}
	}
	return nil
}
