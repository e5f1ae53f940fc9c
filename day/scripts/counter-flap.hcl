# A shard of the counter refuses connections and commands for 500 ms every second, 16 times.

extends = "base"

fault "counter-refuse" {
  at     = "6s"
  for    = "500ms"
  target = 0
}
fault "counter-refuse" {
  at     = "7s"
  for    = "500ms"
  target = 0
}
fault "counter-refuse" {
  at     = "8s"
  for    = "500ms"
  target = 0
}
fault "counter-refuse" {
  at     = "9s"
  for    = "500ms"
  target = 0
}
fault "counter-refuse" {
  at     = "10s"
  for    = "500ms"
  target = 0
}
fault "counter-refuse" {
  at     = "11s"
  for    = "500ms"
  target = 0
}
fault "counter-refuse" {
  at     = "12s"
  for    = "500ms"
  target = 0
}
fault "counter-refuse" {
  at     = "13s"
  for    = "500ms"
  target = 0
}
fault "counter-refuse" {
  at     = "14s"
  for    = "500ms"
  target = 0
}
fault "counter-refuse" {
  at     = "15s"
  for    = "500ms"
  target = 0
}
fault "counter-refuse" {
  at     = "16s"
  for    = "500ms"
  target = 0
}
fault "counter-refuse" {
  at     = "17s"
  for    = "500ms"
  target = 0
}
fault "counter-refuse" {
  at     = "18s"
  for    = "500ms"
  target = 0
}
fault "counter-refuse" {
  at     = "19s"
  for    = "500ms"
  target = 0
}
fault "counter-refuse" {
  at     = "20s"
  for    = "500ms"
  target = 0
}
fault "counter-refuse" {
  at     = "21s"
  for    = "500ms"
  target = 0
}
