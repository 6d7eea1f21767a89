// Command adapter runs policy controllers for a simulator, which it serves on standard input and output.
package main

import (
	"fmt"
	"os"

	"indigodrift/internal/wire"
)

func main() {
	if err := wire.NewHost().Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}
