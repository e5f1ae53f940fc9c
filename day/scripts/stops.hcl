# Nodes are suspended for 0.2 to 8 s, one at a time and all at once, among other faults.

extends = "base"

fault "node-stop" {
  at     = "2s"
  for    = "200ms"
  target = 0
}
fault "node-stop" {
  at     = "3s"
  for    = "3s"
  target = 1
}
fault "server-drain" {
  at     = "3500ms"
  for    = "1s"
  target = 4
}
fault "authoriser-slow" {
  at  = "4s"
  for = "6s"
  arg = "150ms"
}
fault "node-stop" {
  at     = "4s"
  for    = "4s"
  target = 2
}
fault "server-return" {
  at     = "6s"
  target = 4
}
fault "node-stop" {
  at     = "10s"
  for    = "1s"
  target = 0
}
fault "node-stop" {
  at     = "10s"
  for    = "1s"
  target = 1
}
fault "node-stop" {
  at     = "10s"
  for    = "1s"
  target = 2
}
fault "server-vanish" {
  at     = "13s"
  for    = "1s"
  target = 5
}
fault "node-stop" {
  at     = "13s"
  for    = "8s"
  target = 1
}
fault "node-kill" {
  at     = "14s"
  for    = "500ms"
  target = 0
}
fault "node-stop" {
  at     = "16s"
  for    = "3s"
  target = 2
}
fault "server-drain" {
  at     = "16500ms"
  for    = "2s"
  target = 1
}
fault "node-stop" {
  at     = "23s"
  for    = "3500ms"
  target = 0
}
fault "node-stop" {
  at     = "24s"
  for    = "3500ms"
  target = 2
}
