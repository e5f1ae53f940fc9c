# A fleet of three nodes grows to six, shrinks to four and grows to six again, under faults, with a
# customer that demands far more than its hard ceiling on all nodes.

extends = "base"
spares  = 3

fault "fleet-grow" {
  at  = "3s"
  for = "2s"
  arg = "3"
}
fault "peers-lose" {
  at  = "3s"
  for = "4s"
  arg = "0.4"
}
fault "node-stop" {
  at     = "4s"
  for    = "1500ms"
  target = 1
}
fault "node-kill" {
  at     = "11s"
  for    = "1s"
  target = 2
}
fault "fleet-shrink" {
  at  = "13s"
  for = "2s"
  arg = "2"
}
fault "server-drain" {
  at     = "13s"
  for    = "1s"
  target = 3
}
fault "node-stop" {
  at     = "15s"
  for    = "2s"
  target = 0
}
fault "fleet-grow" {
  at  = "22s"
  for = "1s"
  arg = "2"
}
