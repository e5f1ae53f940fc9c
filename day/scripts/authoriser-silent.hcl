# The authorizer does not respond, later responds slowly; a node is killed while authorization checks are in flight.

extends = "base"

fault "authoriser-silent" {
  at     = "6s"
  for    = "8s"
  target = 0
}
fault "node-kill" {
  at     = "9s"
  for    = "1s"
  target = 1
}
fault "authoriser-slow" {
  at     = "16s"
  for    = "5s"
  target = 0
  arg    = "100ms"
}
fault "server-drain" {
  at     = "17s"
  for    = "3s"
  target = 4
}
