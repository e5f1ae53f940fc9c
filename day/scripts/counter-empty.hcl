# Both shards of the counter are replaced by empty ones under full load, while nodes restart at the same moment.

extends = "base"

fault "counter-empty" {
  at     = "10s"
  target = 0
}
fault "counter-empty" {
  at     = "10s"
  target = 1
}
fault "node-kill" {
  at     = "10s"
  for    = "1s"
  target = 0
}
fault "node-kill" {
  at     = "10s"
  for    = "1500ms"
  target = 1
}
