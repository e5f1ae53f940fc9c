// Package node runs the modules of one gateway: a loop that owns them, gives
// them events in order and carries out their actions. Fronts hand it Tries and
// get one Answer for each; upstream carries its attempts to servers.
package node
