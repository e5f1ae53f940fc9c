# The counter applies additions but its responses are lost; then a node is killed.

extends = "base"

fault "counter-lose" {
  at     = "8s"
  for    = "6s"
  target = 0
}
fault "counter-lose" {
  at     = "8s"
  for    = "6s"
  target = 1
}
fault "node-kill" {
  at     = "13s"
  for    = "1s"
  target = 2
}
