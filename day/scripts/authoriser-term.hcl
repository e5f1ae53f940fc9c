# Term opens: the authoriser takes 2 s for a Check, for 15 s.

extends = "base"

fault "authoriser-slow" {
  at     = "6s"
  for    = "15s"
  target = 0
  arg    = "2s"
}
fault "server-drain" {
  at     = "10s"
  for    = "3s"
  target = 3
}
