# A shard of the counter is restored from an old copy.

extends = "base"

fault "counter-save" {
  at     = "6s"
  target = 0
}
fault "counter-silent" {
  at     = "14s"
  for    = "4s"
  target = 0
}
fault "counter-restore" {
  at     = "18s"
  target = 0
}
