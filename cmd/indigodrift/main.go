// Command indigodrift is a call controller for networks of exchanges. It also runs the scripted days and soak runs that test it.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// exitCode is an error that has been printed already. It sets the exit code of the process.
type exitCode int

func (e exitCode) Error() string { return fmt.Sprintf("exit %d", int(e)) }

func main() {
	root := &cobra.Command{Use: "indigodrift", Short: "A call controller for networks of exchanges", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(newServeCommand(), newPlatformCommand(), newCheckCommand(), newDayCommand(), newAuditCommand(), newStandinCommand(), newNumbersCommand(), newLedgerCommand(), newSoakCommand())
	err := root.Execute()
	var code exitCode
	switch {
	case err == nil:
	case errors.As(err, &code):
		os.Exit(int(code))
	default:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}
