package cli

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"egretroad/internal/operate"
)

func newStatusCommand(e *env) *cobra.Command {
	var c platformClient
	var address string
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show the fleet: proxies, versions in force, primaries and promotions",
		Long: `Reads the status of the fleet from the platform: each data centre's live proxies with
the version in force, and each database group with its primary, term and promotion in
progress. With --operator, reads the statistics of one proxy instead: for each kind of
work on the servers for which the proxy is home, the transactions offered, admitted and
refused by cause, the queue, latencies, and the share of used slot time and the floor.`,
		Args: exactArgs(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if address != "" {
				if err := checkOperatorAddress(address); err != nil {
					return err
				}
				return e.printKindStats(address)
			}
			return c.withOperator(cmd, func(ctx context.Context, o *operate.Operator) error {
				status, err := o.Status(ctx)
				if err != nil {
					return err
				}
				return printStatus(e, status)
			})
		},
	}
	c.addFlags(cmd)
	cmd.Flags().StringVar(&address, "operator", "", "operator address of a proxy, IP:PORT; shows its kinds of work")
	return cmd
}

func printStatus(e *env, status operate.FleetStatus) error {
	if e.format == outputJSON {
		return e.printJSON(status)
	}
	var rows [][]string
	for _, dc := range status.DataCentres {
		for _, vm := range dc.VMs {
			rows = append(rows, []string{dc.DataCentre, vm.ID, strconv.FormatUint(vm.Revision, 10), strings.Join(vm.Invalid, " ")})
		}
	}
	for _, missing := range status.Missing {
		rows = append(rows, []string{missing.DataCentre, missing.VM, "not reported", ""})
	}
	if err := e.printTable(nil, []string{"DATA CENTRE", "PROXY", "IN FORCE", "REFUSED OBJECTS"}, rows); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(e.out, "\n%d catalogue entries\n\n", status.Entries) // the next table reports the error
	return e.printTable(nil, []string{"DATABASE", "PRIMARY", "TERM", "SERVERS", "PROMOTION", "FAULT"}, groupRows(status.Groups))
}

func groupRows(groups []operate.GroupStatus) [][]string {
	rows := make([][]string, 0, len(groups))
	for _, g := range groups {
		promotion := "none"
		if g.Promotion != nil {
			promotion = fmt.Sprintf("term %d by %s: %s (%s)", g.Promotion.Term, g.Promotion.Coordinator, g.Promotion.Step, g.Promotion.Reason)
		}
		rows = append(rows, []string{g.Database, g.Primary, strconv.FormatUint(g.Term, 10), strconv.Itoa(g.Servers), promotion, g.Invalid})
	}
	return rows
}
