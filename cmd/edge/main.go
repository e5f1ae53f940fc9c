// Command edge runs a node as an edge node of the users' platform, as `yardcleat
// edge` does, without what that links beside: on machines of 32 MB that counts.
package main

import (
	"context"
	"fmt"
	"os"

	"yardcleat.example/yardcleat/edgenode"
)

func main() {
	if err := edgenode.Run(context.Background(), os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "edge:", err)
		os.Exit(1)
	}
}
