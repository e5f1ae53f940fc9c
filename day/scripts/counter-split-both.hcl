# The counter split for 15 s, even nodes on one side, odd ones on the other; healed: both.

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
