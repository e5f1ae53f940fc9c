# The counter is partitioned for 15 s: even nodes use one side, odd nodes the other. After it, the larger value of each field is kept.

extends = "base"

fault "counter-split" {
  at     = "6s"
  target = 0
}
fault "counter-split" {
  at     = "6s"
  target = 1
}
fault "counter-heal" {
  at     = "21s"
  target = 0
  arg    = "both"
}
fault "counter-heal" {
  at     = "21s"
  target = 1
  arg    = "both"
}
fault "node-kill" {
  at     = "12s"
  for    = "1s"
  target = 1
}
