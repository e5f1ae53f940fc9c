// Command edge runs an edge node, as `yardcleat edge` does, but links only the packages that an edge node needs: the
// smaller binary matters on machines with 32 MB of memory.
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
