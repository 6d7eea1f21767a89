// Command indigodrift is a call controller for networks of exchanges, with the scripted days that prove it.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// exit is an error that has been told already and asks for an exit code.
type exit int

func (e exit) Error() string { return fmt.Sprintf("exit %d", int(e)) }

func main() {
	root := &cobra.Command{Use: "indigodrift", Short: "A call controller for networks of exchanges", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(serveCommand(), platformCommand(), checkCommand(), dayCommand(), auditCommand(), standinCommand(), numbersCommand(), ledgerCommand(), soakCommand())
	err := root.Execute()
	var code exit
	switch {
	case err == nil:
	case errors.As(err, &code):
		os.Exit(int(code))
	default:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}
