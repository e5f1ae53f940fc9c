# 30 s with faults of nodes, servers, peer messages, the authorizer and the counter.

extends = "base"

fault "node-kill" {
  at     = "4s"
  for    = "2s"
  target = 1
}
fault "server-hang" {
  at     = "5s"
  for    = "6s"
  target = 2
}
fault "peers-lose" {
  at  = "6s"
  for = "5s"
  arg = "0.4"
}
fault "server-drain" {
  at     = "7s"
  for    = "3s"
  target = 4
}
fault "server-fail" {
  at     = "8s"
  for    = "6s"
  target = 5
  arg    = "lookup"
}
fault "authoriser-slow" {
  at  = "10s"
  for = "4s"
  arg = "120ms"
}
fault "server-vanish" {
  at     = "11s"
  for    = "1500ms"
  target = 6
}
fault "server-half-close" {
  at     = "12s"
  for    = "2s"
  target = 7
}
fault "authoriser-silent" {
  at  = "14s"
  for = "3s"
}
fault "server-return" {
  at     = "15s"
  target = 4
}
fault "node-stop" {
  at     = "16s"
  for    = "2s"
  target = 0
}
fault "server-return" {
  at     = "18s"
  target = 6
}
fault "node-kill" {
  at     = "19s"
  for    = "1s"
  target = 2
}
fault "server-slow" {
  at     = "20s"
  for    = "5s"
  target = 1
  arg    = "3"
}
fault "node-kill" {
  at     = "21s"
  for    = "1500ms"
  target = 1
}
fault "peers-lose" {
  at  = "23s"
  for = "3s"
  arg = "1"
}
fault "counter-silent" {
  at     = "13s"
  for    = "5s"
  target = 0
}
fault "counter-empty" {
  at     = "18s"
  target = 0
}
