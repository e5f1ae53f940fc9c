# Both shards of the counter do not respond for 15 s, and are empty afterwards.

extends = "base"

fault "counter-silent" {
  at     = "8s"
  for    = "15s"
  target = 0
}
fault "counter-silent" {
  at     = "8s"
  for    = "15s"
  target = 1
}
fault "counter-empty" {
  at     = "23s"
  target = 0
}
fault "counter-empty" {
  at     = "23s"
  target = 1
}
