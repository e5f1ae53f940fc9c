# The counter does not respond, and all peer messages are lost.

extends = "base"

fault "counter-silent" {
  at     = "8s"
  for    = "10s"
  target = 0
}
fault "counter-silent" {
  at     = "8s"
  for    = "10s"
  target = 1
}
fault "peers-lose" {
  at     = "8s"
  for    = "10s"
  target = 0
  arg    = "1"
}
