# The authorizer stops responding for 700 ms every 2 s, ten times.

extends = "base"

fault "authoriser-silent" {
  at     = "5s"
  for    = "700ms"
  target = 0
}
fault "authoriser-silent" {
  at     = "7s"
  for    = "700ms"
  target = 0
}
fault "authoriser-silent" {
  at     = "9s"
  for    = "700ms"
  target = 0
}
fault "authoriser-silent" {
  at     = "11s"
  for    = "700ms"
  target = 0
}
fault "authoriser-silent" {
  at     = "13s"
  for    = "700ms"
  target = 0
}
fault "authoriser-silent" {
  at     = "15s"
  for    = "700ms"
  target = 0
}
fault "authoriser-silent" {
  at     = "17s"
  for    = "700ms"
  target = 0
}
fault "authoriser-silent" {
  at     = "19s"
  for    = "700ms"
  target = 0
}
fault "authoriser-silent" {
  at     = "21s"
  for    = "700ms"
  target = 0
}
fault "authoriser-silent" {
  at     = "23s"
  for    = "700ms"
  target = 0
}
